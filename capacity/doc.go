// Package capacity measures how the cost of control grows, fits a line to each
// series, and writes the figures into docs/CAPACITY.md, so that none of them is
// older than its run.
package capacity
