// Package obs gives processes their logs and metrics.
package obs
