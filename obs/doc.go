// Package obs provides logging and metrics for the processes.
package obs
