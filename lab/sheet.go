package lab

import "time"

// Class is a kind of request of the users' sheet.
type Class struct {
	Name string
	// PerSecond is how many arrive on a usual day.
	PerSecond float64
	// Group and Session are the mean tokens of the two shared parts, Own of the
	// request's part; Groups and Sessions how many of each there are.
	Group, Session, Own float64
	Groups, Sessions    int
	// Output is the mean number of tokens generated.
	Output float64
	// MaxOutput is what the request says.
	MaxOutput      int
	Aim, Deadline  time.Duration
	Worth, Lateful float64
}

// Sheet is a deployment: its kinds of request, teams and engines.
type Sheet struct {
	Classes []Class
	// Teams' sizes fall as the rank to the power of Skew.
	Teams int
	Skew  float64
	// Batch is how many requests an engine runs at once; an event of a stream
	// holds Stride tokens, and Pause is the longest that is still on time.
	Batch, Stride int
	Pause         time.Duration
	// TokensPerSecond is what the operators publish for EnginesPublished engines.
	TokensPerSecond  float64
	EnginesPublished int
}

// Midlands is the smaller deployment with eighteen engines.
func Midlands() *Sheet {
	return &Sheet{
		Classes: []Class{
			{"plan", 74.2, 2520, 3780, 2890, 4, 116, 52, 208, 800 * time.Millisecond, 6 * time.Second, 3.8, 1.9},
			{"check", 94.3, 341, 227, 1800, 20, 148, 23, 90, 500 * time.Millisecond, 4 * time.Second, 2, 0.99},
			{"notes", 76.8, 103, 69, 543, 20, 181, 280, 738, 400 * time.Millisecond, 15 * time.Second, 0.55, 0.27},
		},
		Teams: 16, Skew: 1.8, Batch: 64, Stride: 3, Pause: 300 * time.Millisecond,
		TokensPerSecond: 390000, EnginesPublished: 18,
	}
}

// grownParts is how many homes decide for the grown deployment's engines; the lab
// plays one home's part.
const grownParts = 4

// GrownVilaine is one home's part of the deployment with ninety engines, where a
// late answer is worth a tenth. Its largest team alone asks for more than the
// engines give.
func GrownVilaine() *Sheet {
	return &Sheet{
		Classes: []Class{
			{"plan", 573.0 / grownParts, 2520, 3780, 2890, 4, 1416 / grownParts, 52, 208, 600 * time.Millisecond, 6 * time.Second, 3.6, 0.36},
			{"replan", 720.0 / grownParts, 341, 227, 1800, 16, 1188 / grownParts, 23, 90, 500 * time.Millisecond, 4 * time.Second, 1.9, 0.19},
			{"status", 405.0 / grownParts, 103, 69, 543, 40, 669 / grownParts, 280, 700, 400 * time.Millisecond, 15 * time.Second, 0.72, 0.072},
		},
		Teams: 30, Skew: 2.25, Batch: 32, Stride: 4, Pause: 400 * time.Millisecond,
		TokensPerSecond: 1.9e6 / grownParts, EnginesPublished: 90 / grownParts,
	}
}
