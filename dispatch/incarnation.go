package dispatch

// Incarnation is one start of an upstream's process. An upstream may start again under
// the ID that it had; it then holds and runs nothing of before.
type Incarnation struct {
	ID string
	// Started tells starts under one ID apart, 0 if it isn't known.
	Started int64
}

// Same reports whether two are of one start, as far as is known.
func (i Incarnation) Same(other Incarnation) bool {
	return i.ID == other.ID && (i.Started == other.Started || i.Started == 0 || other.Started == 0)
}
