package fleet

import "github.com/fxamacker/cbor/v2"

// extendedHeartbeat is the encoding of a heartbeat with PlatformUnreachable. Routers of earlier
// versions can't decode it, so all other heartbeats are encoded without it. During an upgrade a
// router that the platform doesn't answer is then silent to routers of earlier versions, and all
// others are members of each other.
type extendedHeartbeat struct {
	_                   struct{} `cbor:",toarray"`
	Fields              heartbeatFields
	PlatformUnreachable bool
}

// MarshalCBOR implements cbor.Marshaler.
func (hb *heartbeat) MarshalCBOR() ([]byte, error) {
	if !hb.PlatformUnreachable {
		return cbor.Marshal(&hb.heartbeatFields)
	}
	return cbor.Marshal(&extendedHeartbeat{Fields: hb.heartbeatFields, PlatformUnreachable: true})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (hb *heartbeat) UnmarshalCBOR(raw []byte) error {
	if cbor.Unmarshal(raw, &hb.heartbeatFields) == nil {
		return nil
	}
	var extended extendedHeartbeat
	if err := cbor.Unmarshal(raw, &extended); err != nil {
		return err
	}
	hb.heartbeatFields, hb.PlatformUnreachable = extended.Fields, extended.PlatformUnreachable
	return nil
}
