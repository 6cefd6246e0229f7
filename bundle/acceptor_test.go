package bundle_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/bundle"
)

func mark(version uint64, digest string) bundle.VersionID {
	return bundle.VersionID{Version: version, Digest: digest}
}

// A router restarts without memory beside a stale platform, which gives it
// version 1 while the fleet acts by 2. It must not act by 1, however often the
// platform repeats it, and acts by 2 once its peers have told it.
func TestRestartBesideAStalePlatformDoesNotRevert(t *testing.T) {
	g := NewWithT(t)
	a := bundle.NewAcceptor("vm1")
	a.SetVoters([]string{"vm1", "vm2", "vm3"})
	g.Expect(a.Ready()).To(BeFalse())
	g.Expect(a.Offer(mark(1, "a"))).To(Equal(bundle.Accepted))
	g.Expect(a.InForce()).To(BeZero())
	g.Expect(a.RecordPeer("vm2", mark(2, "b"))).To(BeTrue(), "fetch what the peer holds")
	g.Expect(a.Offer(mark(2, "b"))).To(Equal(bundle.Accepted))
	g.Expect(a.InForce()).To(Equal(mark(2, "b")))
	g.Expect(a.Offer(mark(1, "a"))).To(Equal(bundle.Stale))
	g.Expect(a.InForce()).To(Equal(mark(2, "b")))
}

// Two operators roll out different contents as one version at the same time.
// Three routers saw one first, two the other. The three win; the two take it
// over, and nobody acts by the loser's.
func TestTwoRolloutsOfOneVersion(t *testing.T) {
	g := NewWithT(t)
	names := []string{"vm1", "vm2", "vm3", "vm4", "vm5"}
	first := map[string]bundle.VersionID{
		"vm1": mark(2, "a"), "vm2": mark(2, "a"), "vm3": mark(2, "a"),
		"vm4": mark(2, "b"), "vm5": mark(2, "b"),
	}
	fleet := map[string]*bundle.Acceptor{}
	for _, n := range names {
		fleet[n] = bundle.NewAcceptor(n)
		fleet[n].SetVoters(names)
		fleet[n].Offer(first[n])
	}
	g.Expect(fleet["vm4"].Offer(mark(2, "a"))).To(Equal(bundle.Conflict), "refused while nobody knows who wins")
	g.Expect(fleet["vm4"].Conflicts()).To(ConsistOf(mark(2, "a")))
	for range 2 {
		for _, n := range names {
			for _, peer := range names {
				if n != peer && fleet[n].RecordPeer(peer, fleet[peer].Latest()) {
					fleet[n].Offer(fleet[peer].Latest())
				}
			}
		}
	}
	for _, n := range names {
		g.Expect(fleet[n].InForce()).To(Equal(mark(2, "a")), n)
	}
}

// Routers offer, hear, restart and change their minds about the list in any
// order. The version in force never falls at a process that lives, and no two
// processes ever act by different contents of one version.
func TestInForceNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		names := make([]string, n)
		fleet := make([]*bundle.Acceptor, n)
		for i := range n {
			names[i] = fmt.Sprint("vm", i)
		}
		last := make([]bundle.VersionID, n)
		contents := map[uint64]string{}
		for i := range n {
			fleet[i] = bundle.NewAcceptor(names[i])
			fleet[i].SetVoters(names)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i, j := rapid.IntRange(0, n-1).Draw(t, "i"), rapid.IntRange(0, n-1).Draw(t, "j")
			if rapid.Bool().Draw(t, "platform") {
				v := uint64(rapid.IntRange(1, 4).Draw(t, "version"))
				fleet[i].Offer(mark(v, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content")))
			} else if i != j && fleet[i].RecordPeer(names[j], fleet[j].Latest()) {
				fleet[i].Offer(fleet[j].Latest())
			}
			m := fleet[i].InForce()
			if m.Version < last[i].Version {
				t.Fatalf("%s went from %v to %v", names[i], last[i], m)
			}
			last[i] = m
			if c, ok := contents[m.Version]; ok && c != m.Digest {
				t.Fatalf("version %d in force as %q and %q", m.Version, c, m.Digest)
			}
			contents[m.Version] = m.Digest
		}
	})
}
