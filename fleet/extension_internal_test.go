package fleet

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/entry"
)

// Guards against a router of the earlier release that takes an extension for another message: it
// decodes packets and streamPackets only, and ignores what is neither.
func TestEarlierReleaseIgnoresExtensions(t *testing.T) {
	g := NewWithT(t)
	raw, err := encodePacket(&packet{From: 7, Extension: &extension{Entry: &entryMessage{Kind: entryAsk, AskedAt: 1 << 50, SpanMs: 7000}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cbor.Unmarshal(raw, &packet{})).NotTo(Succeed())
	g.Expect(cbor.Unmarshal(raw, &streamPacket{})).NotTo(Succeed())

	p, err := decodePacket(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.From).To(Equal(uint64(7)))
	g.Expect(*p.Extension.Entry).To(Equal(entryMessage{Kind: entryAsk, AskedAt: 1 << 50, SpanMs: 7000}))
}

// Guards against a router that can't decode the extensions of a later release, which has messages
// and fields that this one doesn't know.
func TestFieldsOfLaterReleasesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	later := []any{map[int]any{0: uint64(7), 1: map[int]any{0: 5, 1: 3, 3: 4, 9: "more"}, 12: []string{"another message"}}}
	raw, err := cbor.Marshal(later)
	g.Expect(err).NotTo(HaveOccurred())
	p, err := decodePacket(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*p.Extension.Entry).To(Equal(entryMessage{Kind: entryRefused, AskedAt: 3, Reason: entry.TooManyUnavailable}))
	for _, malformed := range [][]byte{{0x81}, {0x81, 0xf6}, {0x81, 0x01}} {
		_, err := decodePacket(malformed)
		g.Expect(err).To(HaveOccurred())
	}
}
