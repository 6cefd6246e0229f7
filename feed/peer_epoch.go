package feed

import "github.com/aspenswitch/aspenswitch/revision"

// SplitEpoch replaces the revisions of a state by counters of its epoch, as it is sent to peers: routers
// of earlier releases compare counters.
func (s *PeerState) SplitEpoch() {
	s.Epoch = revision.Epoch(s.Revision)
	s.Revision, s.Since = revision.Counter(s.Revision), revision.Counter(s.Since)
	for i := range s.Upstreams {
		s.Upstreams[i].Revision = revision.Counter(s.Upstreams[i].Revision)
	}
	for domain, at := range s.Evacuated {
		s.Evacuated[domain] = revision.Counter(at)
	}
}

// JoinEpoch undoes SplitEpoch for a state that was received. A state of a router of an earlier release
// is of epoch 0. It returns an error if the state is invalid.
func (s *PeerState) JoinEpoch() error {
	join := func(counter *int64) (err error) {
		*counter, err = revision.New(s.Epoch, *counter)
		return err
	}
	if err := join(&s.Revision); err != nil {
		return err
	}
	if s.Since != 0 {
		if err := join(&s.Since); err != nil {
			return err
		}
	}
	for i := range s.Upstreams {
		if err := join(&s.Upstreams[i].Revision); err != nil {
			return err
		}
	}
	for domain, at := range s.Evacuated {
		if err := join(&at); err != nil {
			return err
		}
		s.Evacuated[domain] = at
	}
	s.Epoch = 0
	return nil
}
