package ctl

import "sync"

// atOnce bounds the routers that are asked at the same time: a fleet of hundreds answers
// within a second or two, and the operator's machine keeps few connections.
const atOnce = 32

// answer is what one router said.
type answer[T any] struct {
	base  string
	value T
	err   error
}

// gather asks all routers, some at a time, and returns their answers in the routers' order.
func gather[T any](bases []string, ask func(base string) (T, error)) []answer[T] {
	answers := make([]answer[T], len(bases))
	places := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i, base := range bases {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			value, err := ask(base)
			answers[i] = answer[T]{base: base, value: value, err: err}
		})
	}
	all.Wait()
	return answers
}
