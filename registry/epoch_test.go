package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/revision"
)

// at returns a revision.
func at(epoch, counter int64) int64 {
	r, err := revision.New(epoch, counter)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against an upstream that the older copy shows as ready after it said that it leaves.
func TestLeavingUpstreamGoesOnLeavingAfterARestore(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	leaving := newEntry("a", at(0, 30))
	leaving.Draining = true
	r.Put(receivedAt, leaving)
	r.BeginEpoch(receivedAt, at(1, 20))
	r.Put(receivedAt, newEntry("a", at(1, 12)))
	g.Expect(r.View().Upstream("a")).To(BeNil())

	r.Put(receivedAt, newEntry("a", at(1, 22)))
	g.Expect(r.View().Upstream("a")).NotTo(BeNil(), "written again in the new epoch")
}

// Guards against an upstream that the older copy brings back after it was deleted, and against one
// that never comes back.
func TestDeletedUpstreamReturnsOnlyIfItIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	for _, id := range []string{"gone", "back", "kept", "restarted"} {
		u := newEntry(id, at(0, 5))
		u.Started = 3
		r.Put(receivedAt, u)
		r.Delete(id, at(0, 30))
	}
	r.BeginEpoch(receivedAt, at(1, 20))
	for _, id := range []string{"gone", "back", "kept"} {
		u := newEntry(id, at(1, 5))
		u.Started = 3
		g.Expect(r.Put(receivedAt, u)).To(BeFalse(), id)
	}
	next := newEntry("restarted", at(1, 19))
	next.Started = 4
	g.Expect(r.Put(receivedAt, next)).To(BeTrue(), "another start of the upstream")
	g.Expect(r.Put(receivedAt, newEntry("back", at(1, 21)))).To(BeTrue(), "written after the restore")
	r.Delete("gone", at(1, 40))
	g.Expect(r.Expire(receivedAt.Add(9 * time.Second))).To(BeFalse())
	g.Expect(r.View().Ready("llm")).To(HaveLen(2))
	g.Expect(r.Expire(receivedAt.Add(11 * time.Second))).To(BeTrue())
	g.Expect(r.View().Upstream("kept")).NotTo(BeNil(), "still published after entries of lost upstreams have expired")
	g.Expect(r.View().Upstream("gone")).To(BeNil())
}

// Guards against an upstream that is used though a complete listing doesn't have it any more, because the
// copy once had it.
func TestWithheldUpstreamThatIsNoLongerPublishedIsNotUsed(t *testing.T) {
	for name, remove := range map[string]func(r *registry.Registry, id string){
		"deleted": func(r *registry.Registry, id string) { r.Delete(id, at(1, 30)) },
		"lapsed":  func(r *registry.Registry, id string) { r.Lapse(id, receivedAt.Add(time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := registry.New()
			r.Put(receivedAt, newEntry("gone", at(0, 5)))
			r.Delete("gone", at(0, 30))
			r.BeginEpoch(receivedAt, at(1, 20))
			r.Put(receivedAt, newEntry("gone", at(1, 5)))
			missing := r.Missing(map[string]bool{})
			g.Expect(missing).To(Equal([]string{"gone"}))
			remove(r, missing[0])
			r.Expire(receivedAt.Add(11 * time.Second))
			g.Expect(r.View().Upstream("gone")).To(BeNil())
		})
	}
}

// Guards against an evacuation that ends because the copy is older than its order, and against one
// that never ends.
func TestEvacuationOutlivesARestore(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.RecordEvacuation(receivedAt, "north", false, at(0, 30))
	r.RecordEvacuation(receivedAt, "south", false, at(0, 31))
	r.BeginEpoch(receivedAt, at(1, 20))
	r.ReplaceEvacuations(receivedAt, nil, at(1, 20))
	g.Expect(r.View().Evacuated()).To(Equal([]string{"north", "south"}))
	r.RecordEvacuation(receivedAt, "south", false, at(1, 25))
	r.RecordEvacuation(receivedAt, "south", true, at(1, 26))
	g.Expect(r.View().Evacuated()).To(Equal([]string{"north"}), "withdrawn in the new epoch")
	r.Expire(receivedAt.Add(11 * time.Second))
	g.Expect(r.View().Evacuated()).To(BeEmpty(), "not ordered again")
}

// Guards against warm-ups that begin again at all upstreams when the platform is restored.
func TestWarmUpDoesNotRestartWithARestore(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	u := newEntry("a", at(0, 5))
	u.WarmUpLeft = 4 * time.Second
	r.Put(receivedAt, u)
	r.BeginEpoch(receivedAt.Add(time.Minute), at(1, 20))
	u.Revision = at(1, 5)
	r.Put(receivedAt.Add(time.Minute), u)
	g.Expect(r.View().Upstream("a").WarmUpEnd).To(Equal(receivedAt.Add(4 * time.Second)))
	u.Revision, u.WarmUpLeft = at(1, 6), 4*time.Second
	r.Put(receivedAt.Add(time.Minute), u)
	r.BeginEpoch(receivedAt.Add(61*time.Second), at(2, 5))
	older := newEntry("a", at(2, 4))
	r.Put(receivedAt.Add(61*time.Second), older)
	g.Expect(r.View().Upstream("a").WarmUpEnd).To(Equal(receivedAt.Add(64*time.Second)), "the copy is from before the warm-up")
	u.Revision, u.Started = at(2, 21), 9
	r.Put(receivedAt.Add(time.Minute), u)
	var end boottime.Time = receivedAt.Add(64 * time.Second)
	g.Expect(r.View().Upstream("a").WarmUpEnd).To(Equal(end), "written again by a later start")
}

// Guards against an upstream that registered again after its entry had expired, and whose leaving is
// ignored if the copy shows it.
func TestUpstreamThatRegisteredAgainIsNotWithheld(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(receivedAt, newEntry("a", at(0, 5)))
	r.Delete("a", at(0, 20))
	r.Put(receivedAt, newEntry("a", at(0, 22)))
	r.BeginEpoch(receivedAt, at(1, 25))
	leaving := newEntry("a", at(1, 24))
	leaving.Draining = true
	g.Expect(r.Put(receivedAt, leaving)).To(BeTrue())
	g.Expect(r.View().Upstream("a")).To(BeNil())
}

// Guards against an earlier start of an upstream, with another address, that replaces the one that
// registered after it.
func TestEarlierStartInTheCopyIsWithheld(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	earlier, later := newEntry("a", at(0, 5)), newEntry("a", at(0, 22))
	earlier.Started, later.Started = 3, 4
	r.Put(receivedAt, earlier)
	r.Delete("a", at(0, 20))
	r.Put(receivedAt, later)
	r.BeginEpoch(receivedAt, at(1, 10))
	earlier.Revision = at(1, 5)
	g.Expect(r.Put(receivedAt, earlier)).To(BeFalse())
	g.Expect(r.View().Upstream("a").Started).To(Equal(int64(4)))
}
