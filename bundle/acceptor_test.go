package bundle_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/bundle"
)

func versionID(version uint64, digest string) bundle.VersionID {
	return bundle.VersionID{Version: version, Digest: digest}
}

// Guards against a restarted router, which has no stored state, applying the
// outdated version 1 from a stale platform while the fleet applies version 2. It
// must refuse version 1, however often the platform offers it, and apply version 2
// once its peers have reported it.
func TestRestartBesideAStalePlatformDoesNotRevert(t *testing.T) {
	g := NewWithT(t)
	a := bundle.NewAcceptor("vm1")
	a.SetVoters([]string{"vm1", "vm2", "vm3"})
	g.Expect(a.Ready()).To(BeFalse())
	g.Expect(a.Offer(versionID(1, "a"))).To(Equal(bundle.Accepted))
	g.Expect(a.InForce()).To(BeZero())
	g.Expect(a.RecordPeer("vm2", versionID(2, "b"))).To(BeTrue(), "fetch what the peer holds")
	g.Expect(a.Offer(versionID(2, "b"))).To(Equal(bundle.Accepted))
	g.Expect(a.InForce()).To(Equal(versionID(2, "b")))
	g.Expect(a.Offer(versionID(1, "a"))).To(Equal(bundle.Stale))
	g.Expect(a.InForce()).To(Equal(versionID(2, "b")))
}

// Guards against two contents of one version in force after two operators roll it
// out at the same time. Three of five routers receive one content first, two the
// other: the majority's content must be in force at all routers.
func TestTwoRolloutsOfOneVersion(t *testing.T) {
	g := NewWithT(t)
	names := []string{"vm1", "vm2", "vm3", "vm4", "vm5"}
	first := map[string]bundle.VersionID{
		"vm1": versionID(2, "a"), "vm2": versionID(2, "a"), "vm3": versionID(2, "a"),
		"vm4": versionID(2, "b"), "vm5": versionID(2, "b"),
	}
	fleet := map[string]*bundle.Acceptor{}
	for _, n := range names {
		fleet[n] = bundle.NewAcceptor(n)
		fleet[n].SetVoters(names)
		fleet[n].Offer(first[n])
	}
	g.Expect(fleet["vm4"].Offer(versionID(2, "a"))).To(Equal(bundle.Conflict), "refused before a majority holds either content")
	g.Expect(fleet["vm4"].Conflicts()).To(ConsistOf(versionID(2, "a")))
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
		g.Expect(fleet[n].InForce()).To(Equal(versionID(2, "a")), n)
	}
}

// Guards against the version in force decreasing within a process, and against two
// processes applying different contents of one version, for any order of offers
// from the platform and reports from peers.
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
				fleet[i].Offer(versionID(v, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content")))
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
