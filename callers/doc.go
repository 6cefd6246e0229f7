// Package callers implements the HTTP API for the teams' requests: the
// OpenAI-compatible API for models, and plain services under /services/.
package callers
