package bundle_test

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/bundle"
)

const validTemplate = `// a comment
{
  "version": 3,
  "teams": [{"id": 1, "name": "schools", "share": 2, "keys": ["%s"]}],
  "pools": [
    {"id": 1, "name": "planning", "models": ["planner"]},
    {"id": 2, "name": "bookings", "service": "booking", "routes": [
      {"method": "POST", "path": "/", "repeatable": true},
      {"method": "POST", "path": "/bookings", "repeatable": false}]},
  ],
  "upstreams": [
    {"id": 1, "name": "e1", "kind": "engine", "pool": "planning", "address": "10.0.0.1:80", "slots": 4},
  ],
}`

func validText() string { return fmt.Sprintf(validTemplate, bundle.HashKey("k")) }

var _ = Describe("checking a bundle", func() {
	It("accepts a valid bundle and applies the defaults", func() {
		b, findings := bundle.Parse("b.json", []byte(validText()))
		Expect(findings).To(BeEmpty())
		Expect(b.Limits.BodyBytes).To(BeNumerically(">", 0))
		team, ok := bundle.NewIndex(b).Team("k")
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("schools"))
		_, ok = bundle.NewIndex(b).Team("other")
		Expect(ok).To(BeFalse())
	})

	It("uses the longest matching route, and repeats only safe methods without one", func() {
		b, _ := bundle.Parse("b.json", []byte(validText()))
		p, _ := b.PoolForService("booking")
		Expect(p.Repeatable("POST", "/search")).To(BeTrue())
		Expect(p.Repeatable("POST", "/bookings/7")).To(BeFalse())
		Expect(p.Repeatable("PUT", "/x")).To(BeFalse())
		Expect(p.Repeatable("GET", "/x")).To(BeTrue())
	})

	It("reports all findings at once, each with its position", func() {
		text := strings.NewReplacer(`"version": 3`, `"version": 0`, `"share": 2`, `"share": -2`,
			`"10.0.0.1:80"`, `"host:80"`, `"slots": 4`, `"slots": 0, "colour": 1`).Replace(validText())
		_, findings := bundle.Parse("b.json", []byte(text))
		// Unknown fields are reported by decoding, before values are validated.
		Expect(findings.Error()).To(Equal(`b.json:12:101: /upstreams/0/colour: unknown field`))
		_, findings = bundle.Parse("b.json", []byte(strings.Replace(text, `, "colour": 1`, "", 1)))
		Expect(findings).To(HaveLen(4))
		Expect(findings[0].String()).To(HavePrefix("b.json:3:14: /version: "))
		Expect(findings[1].String()).To(HavePrefix("b.json:4:51: /teams/0/share: "))
	})

	It("evacuates failure domains, and reports those without an upstream", func() {
		withEvacuated := func(evacuated string) string {
			text := strings.Replace(validText(), `"slots": 4`, `"slots": 4, "failureDomain": "north"`, 1)
			return strings.Replace(text, `"version": 3,`, `"version": 3, "evacuated": [`+evacuated+`],`, 1)
		}
		b, findings := bundle.Parse("b.json", []byte(withEvacuated(`"north"`)))
		Expect(findings).To(BeEmpty())
		Expect(b.Schedulable(b.Upstreams[0])).To(BeFalse())
		notEvacuated, findings := bundle.Parse("b.json", []byte(withEvacuated("")))
		Expect(findings).To(BeEmpty())
		Expect(notEvacuated.Schedulable(notEvacuated.Upstreams[0])).To(BeTrue())
		notEvacuated.Version++
		Expect(bundle.Diff(b, notEvacuated)).To(ContainElement("evacuated: [north] to []"))
		_, findings = bundle.Parse("b.json", []byte(withEvacuated(`"nroth", "north", "north"`)))
		Expect(findings).To(HaveLen(2))
		Expect(findings[0].String()).To(HavePrefix("b.json:3:31: /evacuated/0: no upstream is in the failure domain"))
		Expect(findings[1].Path).To(Equal("/evacuated/2"))
	})

	It("reports the line of a JSON syntax error", func() {
		_, findings := bundle.Parse("b.json", []byte("{\n  \"version\": ,\n}"))
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].Line).To(Equal(2))
	})

	It("describes what a new version changes, and warns of a reused id", func() {
		a, _ := bundle.Parse("a", []byte(validText()))
		b, findings := bundle.Parse("b", []byte(strings.NewReplacer("schools", "homes", `"slots": 4`, `"slots": 5`).Replace(validText())))
		Expect(findings).To(BeEmpty())
		diff := strings.Join(bundle.Diff(a, b), "\n")
		Expect(diff).To(ContainSubstring("routers will refuse it"))
		Expect(diff).To(ContainSubstring("upstream e1:"))
		Expect(diff).To(ContainSubstring("whose service it would inherit"))
	})
})

var _ = Describe("signing a bundle", func() {
	annaPub, annaKey, _ := ed25519.GenerateKey(nil)
	bertPub, bertKey, _ := ed25519.GenerateKey(nil)
	operators := []bundle.Operator{{Name: "anna", PublicKey: annaPub}, {Name: "bert", PublicKey: bertPub}, {Name: "anna2", PublicKey: annaPub}}

	It("needs two different operators", func() {
		s := &bundle.Signed{Bundle: validText()}
		s.Sign("anna", annaKey)
		s.Sign("anna", annaKey)
		Expect(s.Verify(operators)).To(MatchError(ContainSubstring("needs 2")))
		s.Sign("anna2", annaKey)
		Expect(s.Verify(operators)).To(MatchError(ContainSubstring("needs 2")), "one key under two names")
		s.Sign("bert", bertKey)
		Expect(s.Verify(operators)).To(Succeed())
	})

	It("refuses a modified bundle and signers that are not operators", func() {
		s := &bundle.Signed{Bundle: validText()}
		s.Sign("anna", annaKey)
		s.Sign("bert", bertKey)
		s.Bundle = strings.Replace(s.Bundle, `"share": 2`, `"share": 9`, 1)
		Expect(s.Verify(operators)).To(MatchError(ContainSubstring("not valid")))
		s.Sign("eve", annaKey)
		Expect(s.Verify(operators)).NotTo(Succeed())
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validText()))
	f.Add([]byte(`{"teams": [{"keys": [1]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, findings := bundle.Parse("fuzz", raw)
		if len(findings) == 0 && b == nil {
			t.Fatal("neither a bundle nor a finding")
		}
	})
}
