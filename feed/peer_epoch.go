package feed

import "github.com/aspenswitch/aspenswitch/revision"

// SplitEpoch replaces the revisions of a state by counters of its epoch, as it is sent to peers: routers
// of earlier releases compare counters. What is older than the platform's last restore keeps its own
// epoch: the platform gives the counters out again, and the entry would hide a later one.
func (s *PeerState) SplitEpoch() {
	s.Epoch = revision.Epoch(s.Revision)
	s.Revision, s.Since = revision.Counter(s.Revision), revision.Counter(s.Since)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		s.UpstreamEpochs = s.recordEarlier(s.UpstreamEpochs, u.ID, u.Revision)
		u.Revision = revision.Counter(u.Revision)
	}
	if s.Restore != nil { // all of it is of this epoch
		s.Restore.First = revision.Counter(s.Restore.First)
		for i := range s.Restore.Withheld {
			s.Restore.Withheld[i].Revision = revision.Counter(s.Restore.Withheld[i].Revision)
		}
	}
	for domain, at := range s.Evacuated {
		s.EvacuationEpochs = s.recordEarlier(s.EvacuationEpochs, domain, at)
		s.Evacuated[domain] = revision.Counter(at)
	}
}

// recordEarlier records the epoch of what has the given revision if it is earlier than that of the state.
func (s *PeerState) recordEarlier(epochs map[string]int64, name string, at int64) map[string]int64 {
	if revision.Epoch(at) == s.Epoch {
		return epochs
	}
	if epochs == nil {
		epochs = map[string]int64{}
	}
	epochs[name] = revision.Epoch(at)
	return epochs
}

// JoinEpoch undoes SplitEpoch for a state that was received. A state of a router of an earlier release
// is of epoch 0. It returns an error if the state is invalid.
func (s *PeerState) JoinEpoch() (err error) {
	if s.Revision, err = revision.New(s.Epoch, s.Revision); err != nil {
		return err
	}
	if s.Since != 0 {
		if s.Since, err = revision.New(s.Epoch, s.Since); err != nil {
			return err
		}
	}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.Revision, err = s.joined(s.UpstreamEpochs, u.ID, u.Revision); err != nil {
			return err
		}
	}
	if s.Restore != nil {
		if s.Restore.First, err = revision.New(s.Epoch, s.Restore.First); err != nil {
			return err
		}
		for i := range s.Restore.Withheld {
			u := &s.Restore.Withheld[i]
			if u.Revision, err = revision.New(s.Epoch, u.Revision); err != nil {
				return err
			}
		}
	}
	for domain, counter := range s.Evacuated {
		if s.Evacuated[domain], err = s.joined(s.EvacuationEpochs, domain, counter); err != nil {
			return err
		}
	}
	s.Epoch, s.UpstreamEpochs, s.EvacuationEpochs = 0, nil, nil
	return nil
}

// joined returns the revision of what has the given counter in the epoch recorded for it, or else in that
// of the state.
func (s *PeerState) joined(epochs map[string]int64, name string, counter int64) (int64, error) {
	epoch, earlier := epochs[name]
	if !earlier {
		epoch = s.Epoch
	}
	if epoch > s.Epoch {
		return 0, revision.Error.New("epoch %d of %q is later than that of the state, %d", epoch, name, s.Epoch)
	}
	return revision.New(epoch, counter)
}
