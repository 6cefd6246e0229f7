package fairness

// Queue holds one pool's waiting requests at one router, in FIFO order within a
// team. T identifies a request.
type Queue[T comparable] struct {
	teams map[TeamID][]T
	len   int
}

// NewQueue returns an empty queue.
func NewQueue[T comparable]() *Queue[T] { return &Queue[T]{teams: map[TeamID][]T{}} }

// Push appends a request of the team.
func (q *Queue[T]) Push(id TeamID, r T) {
	q.teams[id] = append(q.teams[id], r)
	q.len++
}

// Pop removes and returns the team's oldest request. It returns false if the
// team has none.
func (q *Queue[T]) Pop(id TeamID) (T, bool) {
	waiting := q.teams[id]
	if len(waiting) == 0 {
		var zero T
		return zero, false
	}
	r := waiting[0]
	q.set(id, waiting[1:])
	q.len--
	return r, true
}

// Remove deletes a request from any position of the team's queue, for a caller
// that disconnected. It returns false if the request is not queued.
func (q *Queue[T]) Remove(id TeamID, r T) bool {
	waiting := q.teams[id]
	for i, other := range waiting {
		if other != r {
			continue
		}
		q.set(id, append(waiting[:i:i], waiting[i+1:]...))
		q.len--
		return true
	}
	return false
}

func (q *Queue[T]) set(id TeamID, waiting []T) {
	if len(waiting) == 0 {
		delete(q.teams, id)
		return
	}
	q.teams[id] = waiting
}

// Waiting returns the number of the team's requests.
func (q *Queue[T]) Waiting(id TeamID) int { return len(q.teams[id]) }

// Len returns the number of all requests.
func (q *Queue[T]) Len() int { return q.len }

// Teams returns the number of teams with waiting requests.
func (q *Queue[T]) Teams() int { return len(q.teams) }
