package fleet

import (
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/aspenswitch/aspenswitch/boottime"
)

// Dump is a node's state, for operators.
type Dump struct {
	Router   uint64       `json:"router"`
	Domain   string       `json:"failureDomain"`
	Reads    bool         `json:"readsPlatform"`
	Revision int64        `json:"revision"`
	AgeMs    int64        `json:"ageMs"`
	Pending  int          `json:"pending"`
	Held     int          `json:"held"`
	Members  []MemberDump `json:"members"`
	Groups   []GroupDump  `json:"groups"`
}

// MemberDump is a peer's.
type MemberDump struct {
	Router  uint64 `json:"router"`
	Address string `json:"address"`
	Domain  string `json:"failureDomain"`
	Leaving bool   `json:"leaving"`
	Doubted bool   `json:"doubted"`
	HeardMs int64  `json:"heardMs"`
}

// GroupDump is a group's.
type GroupDump struct {
	Group string `json:"group"`
	Home  uint64 `json:"home"`
}

// Dump returns the node's state.
func (n *Node) Dump() Dump {
	answer := make(chan Dump, 1)
	n.events <- dumpEvent{answer: answer}
	return <-answer
}

func (n *Node) dump(now boottime.Time) Dump {
	d := Dump{Router: n.self, Domain: n.cfg.Domain, Reads: n.reads.Load(), Pending: len(n.pending), Held: len(n.held)}
	if n.feed != nil {
		d.AgeMs = n.feed.Age().Milliseconds()
		if s := n.feed.Snapshot(); s != nil {
			d.Revision = s.Revision
		}
	}
	for _, m := range n.members {
		d.Members = append(d.Members, MemberDump{
			Router: m.id, Address: m.addr.String(), Domain: m.domain,
			Leaving: m.leaving, Doubted: m.doubted, HeardMs: now.Sub(m.heard).Milliseconds(),
		})
	}
	for _, g := range n.groups {
		d.Groups = append(d.Groups, GroupDump{Group: g.key, Home: g.home})
	}
	return d
}

// decodeParams reads a request's parameters.
func decodeParams(req *jsonrpc2.Request, into any) error {
	if req.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, into); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}
