// Package lab simulates a day's requests with the real placement core and a model of the
// engines, in virtual time and without a network. It measures what callers get under a
// policy and compares it with baseline policies and with a core without message delay. A
// simulation takes seconds, a run of a whole fleet minutes. Routers don't use this package.
package lab
