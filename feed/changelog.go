package feed

// changeLog records which upstreams changed at which revision, so that a peer that
// is slightly behind can fetch only those. Without it every router would fetch the full
// state on each change, at the moment when many upstreams change and the load on
// homes is highest.
type changeLog struct {
	// completeAfter is the revision after which the log contains every change.
	completeAfter int64
	changes       []loggedChange
}

// loggedChange is a change to one upstream.
type loggedChange struct {
	revision int64
	id       string
}

// maxChanges is the maximum number of logged changes: enough for all upstreams of a
// large deployment changing at once, and the changes that follow.
const maxChanges = 1024

// add appends a change. When the log is full, it discards the older half.
func (l *changeLog) add(revision int64, id string) {
	l.changes = append(l.changes, loggedChange{revision: revision, id: id})
	if len(l.changes) <= maxChanges {
		return
	}
	for _, c := range l.changes[:maxChanges/2] {
		l.completeAfter = max(l.completeAfter, c.revision)
	}
	l.changes = append(l.changes[:0], l.changes[maxChanges/2:]...)
}

// reset clears the log. Only changes after revision are available from then on.
func (l *changeLog) reset(revision int64) {
	l.completeAfter = revision
	l.changes = l.changes[:0]
}

// since returns the IDs of the upstreams that changed after revision. ok is false if
// the log may lack some of them.
func (l *changeLog) since(revision int64) (ids map[string]bool, ok bool) {
	if revision < l.completeAfter {
		return nil, false
	}
	ids = map[string]bool{}
	for _, c := range l.changes {
		if c.revision > revision {
			ids[c.id] = true
		}
	}
	return ids, true
}
