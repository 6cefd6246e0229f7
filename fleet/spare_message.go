package fleet

import (
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
)

// spareMessage requests from the home of a group what its upstreams could serve beside the work that they
// have, or replies.
type spareMessage struct {
	Service string      `cbor:"0,keyasint"`
	Group   groupNumber `cbor:"1,keyasint"`
	Answer  bool        `cbor:"2,keyasint,omitempty"`
	// WorkMs is set with Answer.
	WorkMs int32 `cbor:"3,keyasint,omitempty"`
}

const (
	// spareInterval is the time between two requests of a home that has no room. A reply is
	// used for three times as long.
	spareInterval = 100 * time.Millisecond
	// sparePeers is the number of groups whose homes get a request at a time. Two choices are much better
	// than one; the others cover replies that are lost, and groups without room.
	sparePeers = 4
	// maxSpareWork bounds the work that a peer may report.
	maxSpareWork = time.Hour
)

// seekSpare requests from the homes of other groups what they could serve, for each group of which this
// router is the home and that has recently had no room.
func (n *Node) seekSpare(now boottime.Time) {
	for key, g := range n.groups {
		if g.home != n.self || !g.core.SeeksSpare(time.Duration(now)) || now.Sub(g.spareSoughtAt) < spareInterval {
			continue
		}
		g.spareSoughtAt = now
		count := n.groupNumberOf(key).count()
		for _, index := range n.otherGroups(key.index, count) {
			n.askForSpare(now, groupKey{service: key.service, index: index})
		}
	}
}

// otherGroups returns the indices of at most sparePeers groups besides one, chosen at random.
func (n *Node) otherGroups(except, count int) []int {
	var others []int
	if count <= sparePeers+1 {
		for i := range count {
			if i != except {
				others = append(others, i)
			}
		}
		return others
	}
	for range sparePeers {
		if i := n.random.IntN(count); i != except {
			others = append(others, i)
		}
	}
	return others
}

func (n *Node) askForSpare(now boottime.Time, key groupKey) {
	g := n.group(now, key)
	if g == nil {
		return
	}
	home := n.homeOf(now, g)
	if home == nil {
		n.recordSpare(now, key, g.core.Spare(time.Duration(now)))
		return
	}
	n.send(home.addr, &packet{Extension: &extension{Spare: &spareMessage{Service: key.service, Group: n.groupNumberOf(key)}}})
}

// handleSpareMessage answers a question of another home, or records the answer to one.
func (n *Node) handleSpareMessage(now boottime.Time, from *member, m *spareMessage) {
	key := groupKey{service: m.Service, index: m.Group.index()}
	if m.Answer {
		work := min(max(duration(m.WorkMs), 0), maxSpareWork)
		n.recordSpare(now, key, dispatch.Spare{Work: work})
		return
	}
	g := n.group(now, key)
	if g == nil || g.home != n.self {
		return
	}
	s := g.core.Spare(time.Duration(now))
	n.send(from.addr, &packet{Extension: &extension{Spare: &spareMessage{
		Service: m.Service, Group: m.Group, Answer: true, WorkMs: millis(min(s.Work, maxSpareWork)),
	}}})
}

// recordSpare records what a group could serve at the other groups of its service of which this router
// is the home.
func (n *Node) recordSpare(now boottime.Time, of groupKey, s dispatch.Spare) {
	for key, g := range n.groups {
		if key.service == of.service && key.index != of.index && g.home == n.self {
			g.core.SetSpare(time.Duration(now), of.index, s)
		}
	}
}
