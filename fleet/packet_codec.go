package fleet

import "github.com/fxamacker/cbor/v2"

// streamPacket is the encoding of a packet with a streamMessage. It is an array of another length
// than packet, so that all other packets stay as routers of earlier releases know them; these log
// and ignore a streamPacket.
type streamPacket struct {
	_      struct{} `cbor:",toarray"`
	From   uint64
	Stream *streamMessage
}

func encodePacket(p *packet) ([]byte, error) {
	if p.Stream != nil {
		return cbor.Marshal(&streamPacket{From: p.From, Stream: p.Stream})
	}
	if p.Extension != nil {
		p.Extension.From = p.From
		return cbor.Marshal(&extensionPacket{Extension: p.Extension})
	}
	return cbor.Marshal(p)
}

func decodePacket(raw []byte) (*packet, error) {
	if len(raw) > 0 && raw[0] == extensionHeader {
		return decodeExtension(raw)
	}
	p := &packet{}
	err := cbor.Unmarshal(raw, p)
	if err == nil {
		return p, nil
	}
	var s streamPacket
	if cbor.Unmarshal(raw, &s) != nil || s.Stream == nil {
		return nil, err
	}
	return &packet{From: s.From, Stream: s.Stream}, nil
}
