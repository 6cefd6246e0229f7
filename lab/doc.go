// Package lab plays a day's requests through the real decision core over a model
// of the engines, in virtual time and without a network. It tells what callers
// get under a policy, beside rivals and a core without any delay, in seconds
// instead of the minutes of a whole fleet. It is for measurement, no part of the
// router.
package lab
