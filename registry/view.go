package registry

// View is the registry at one moment. It isn't changed once made.
type View struct {
	byID  map[string]*Upstream
	ready map[string][]*Upstream
}

// Ready returns the upstreams of a service that take new work, by ID.
func (v *View) Ready(service string) []*Upstream { return v.ready[service] }

// Upstream finds an upstream that takes new work, nil if it doesn't or is not
// known.
func (v *View) Upstream(id string) *Upstream {
	u := v.byID[id]
	if u == nil || u.Draining {
		return nil
	}
	return u
}

// All returns every entry, also those of upstreams that are leaving.
func (v *View) All() []Upstream {
	all := make([]Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		all = append(all, *u)
	}
	return all
}
