package ctl

import "sync"

// maxConcurrentQueries limits the number of routers queried at the same time. A fleet of
// hundreds still answers within a second or two, and the operator's machine opens few
// connections.
const maxConcurrentQueries = 32

// queryResult is the result of querying the router at a base URL.
type queryResult[T any] struct {
	base  string
	value T
	err   error
}

// queryAll queries all routers, at most maxConcurrentQueries at a time, and returns the
// results in the order of bases.
func queryAll[T any](bases []string, query func(base string) (T, error)) []queryResult[T] {
	results := make([]queryResult[T], len(bases))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, base := range bases {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			value, err := query(base)
			results[i] = queryResult[T]{base: base, value: value, err: err}
		})
	}
	wg.Wait()
	return results
}
