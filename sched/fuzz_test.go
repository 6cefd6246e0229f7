package sched_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/sched"
)

// Whatever a peer sends, a node must not panic.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"f":"vm2","i":7,"o":1,"s":1,"p":[{"p":1,"e":[[1,500,3,4]],"g":[{"u":1,"t":1,"g":4}],"r":[{"u":1,"c":2}]}]}`))
	f.Add([]byte(`{"f":"vm2","i":7,"s":1,"j":true,"p":[{"p":1,"s":{"base":[[1,5]],"peers":[{"router":"vm3","inc":1,"entries":[[2,1]]}]}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s sched.Sync
		if json.Unmarshal(raw, &s) != nil {
			return
		}
		fl := newFleet(t, 1, 1, 4)
		now := fl.now
		fl.nodes[0].Receive(now, s)
		s.Seq++
		fl.nodes[0].Receive(now.Add(time.Second), s)
		fl.nodes[0].Tick(now.Add(2 * time.Second))
		fl.nodes[0].Actions()
		fl.nodes[0].Dump(now)
	})
}
