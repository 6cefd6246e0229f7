package dispatch

// Incarnation identifies one start of an upstream's process. An upstream may restart under
// the same ID, and has lost all cached and running work then.
type Incarnation struct {
	ID string
	// Started distinguishes starts under the same ID. It is 0 if unknown.
	Started int64
}

// Same reports whether both may be the same incarnation. An unknown start matches any.
func (i Incarnation) Same(other Incarnation) bool {
	return i.ID == other.ID && (i.Started == other.Started || i.Started == 0 || other.Started == 0)
}
