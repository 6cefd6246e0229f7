// Package callers serves the teams' requests over HTTP: the OpenAI-compatible
// API for models, and plain services under /services/.
package callers
