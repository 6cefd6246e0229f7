package feed

// changeLog remembers which upstreams changed at which revision, so that a peer that
// is a little behind gets those alone. Without it every router would fetch the whole state
// at each change, just when many upstreams change and homes have most to do.
type changeLog struct {
	// complete is the revision after which no change is missing.
	complete int64
	changes  []loggedChange
}

// loggedChange is one upstream's change.
type loggedChange struct {
	revision int64
	id       string
}

// maxChanges is how many changes are remembered: all upstreams of a large deployment
// at once, and what follows.
const maxChanges = 1024

// add notes a change.
func (l *changeLog) add(revision int64, id string) {
	l.changes = append(l.changes, loggedChange{revision: revision, id: id})
	if len(l.changes) <= maxChanges {
		return
	}
	for _, c := range l.changes[:maxChanges/2] {
		l.complete = max(l.complete, c.revision)
	}
	l.changes = append(l.changes[:0], l.changes[maxChanges/2:]...)
}

// reset forgets all: what is known now is complete up to a revision.
func (l *changeLog) reset(revision int64) {
	l.complete = revision
	l.changes = l.changes[:0]
}

// since returns the upstreams that changed after a revision; ok is unset if some may
// be missing.
func (l *changeLog) since(revision int64) (ids map[string]bool, ok bool) {
	if revision < l.complete {
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
