package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/aspenswitch/aspenswitch/entry"
)

// extension has the messages that routers of the first releases don't know. It is encoded as a map
// with integer keys, so that later releases can add fields: a router ignores keys that it doesn't
// know.
type extension struct {
	From  uint64        `cbor:"0,keyasint"`
	Entry *entryMessage `cbor:"1,keyasint,omitempty"`
	Spare *spareMessage `cbor:"2,keyasint,omitempty"`
}

// extensionPacket is the encoding of a packet with an extension. It is an array of another length
// than packet and streamPacket; routers that don't know it log and ignore it.
type extensionPacket struct {
	_         struct{} `cbor:",toarray"`
	Extension *extension
}

// extensionHeader is the first byte of an encoded extensionPacket: the header of an array with one
// element.
const extensionHeader = 0x81

// decodeExtension decodes a packet that begins with extensionHeader.
func decodeExtension(raw []byte) (*packet, error) {
	var e extensionPacket
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return nil, Error.Wrap(err)
	}
	if e.Extension == nil {
		return nil, Error.New("extension packet without an extension")
	}
	return &packet{From: e.Extension.From, Extension: e.Extension}, nil
}

// entryMessageKind is the purpose of an entryMessage.
type entryMessageKind uint8

const (
	// entryAsk asks the hub responsible for the sender's failure domain for a lease to be out of the
	// load balancer, entryRenew extends it, entryEnd ends it.
	entryAsk entryMessageKind = iota + 1
	entryRenew
	entryEnd
	// entryGranted and entryRefused answer entryAsk and entryRenew.
	entryGranted
	entryRefused
)

// entryMessage is about a router's lease to be out of the load balancer; see package entry.
type entryMessage struct {
	Kind entryMessageKind `cbor:"0,keyasint"`
	// AskedAt is the router's boot clock in nanoseconds when it asked. The answer repeats it.
	AskedAt int64 `cbor:"1,keyasint,omitempty"`
	// SpanMs is how long the router wants to be out, or may be.
	SpanMs int32 `cbor:"2,keyasint,omitempty"`
	// Reason is set with entryRefused.
	Reason entry.Reason `cbor:"3,keyasint,omitempty"`
	// DemandPercent is set with entryAsk: the callers that come for each hundred that are accepted.
	DemandPercent int32 `cbor:"4,keyasint,omitempty"`
}
