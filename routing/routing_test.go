package routing_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/routing"
)

func newTable() *routing.Table {
	return routing.NewTable(&routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Teams: []routing.Team{{Name: "schools", Keys: []string{"k1", "k2"}}},
	})
}

func TestLongestPrefixWins(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		g.Expect(table.Match("a.example", path).Name).To(Equal(want), path)
	}
	g.Expect(table.Match("a.example", "/x")).To(BeNil())
	g.Expect(table.Match("c.example", "/x/1")).To(BeNil())
	g.Expect(table.Match("B.example:8080", "/anything").Name).To(Equal("other"))
}

func TestKeysNameTheirTeam(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newTable().Team("k2").Name).To(Equal("schools"))
	g.Expect(newTable().Team("k3")).To(BeNil())
	g.Expect(newTable().Team("")).To(BeNil())
}

// Guards against retrying requests of an unknown kind.
func TestUnknownKindIsAnErrorAndTheZeroKindIsUnsafe(t *testing.T) {
	g := NewWithT(t)
	_, err := routing.ParseKind("eventual")
	g.Expect(err).To(HaveOccurred())
	var r routing.Route
	g.Expect(r.Repeatable()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.Streaming}).Repeatable()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.Streaming, Resumable: true}).Repeatable()).To(BeTrue())
}

func TestSplitFollowsTheWeightsAndKeepsSessions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := routing.Route{Split: []routing.Share{{Service: "a", Weight: rapid.IntRange(0, 9).Draw(rt, "a")}, {Service: "b", Weight: 1}}}
		key := rapid.String().Draw(rt, "key")
		first := r.ServiceFor(key)
		if first != r.ServiceFor(key) {
			rt.Fatal("requests with the same key went to different services")
		}
		if r.Split[0].Weight == 0 && first != "b" {
			rt.Fatal("a service with weight 0 received a request")
		}
	})
}
