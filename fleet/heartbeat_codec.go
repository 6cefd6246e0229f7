package fleet

import (
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// extendedHeartbeat is the encoding of a heartbeat with PlatformUnreachable. Routers of earlier
// versions can't decode it, so all other heartbeats are encoded without it. During an upgrade a
// router that the platform doesn't answer is then silent to routers of earlier versions, and all
// others are members of each other.
type extendedHeartbeat struct {
	_                   struct{} `cbor:",toarray"`
	Fields              heartbeatFields
	PlatformUnreachable bool
}

// epochPeer begins an entry of heartbeatFields.Peers that carries the epoch of a platform that has been
// restored. Routers of earlier releases ignore peers that are no IP addresses, and go on receiving
// heartbeats.
const epochPeer = "epoch/"

// MarshalCBOR implements cbor.Marshaler.
func (hb *heartbeat) MarshalCBOR() ([]byte, error) {
	fields := hb.heartbeatFields
	if hb.Epoch != 0 {
		fields.Peers = append(slices.Clone(fields.Peers), epochPeer+strconv.FormatInt(hb.Epoch, 10))
	}
	if !hb.PlatformUnreachable {
		return cbor.Marshal(&fields)
	}
	return cbor.Marshal(&extendedHeartbeat{Fields: fields, PlatformUnreachable: true})
}

// takeEpoch moves the epoch from the peers to its field.
func (hb *heartbeat) takeEpoch() {
	hb.Peers = slices.DeleteFunc(hb.Peers, func(peer string) bool {
		text, found := strings.CutPrefix(peer, epochPeer)
		if epoch, err := strconv.ParseInt(text, 10, 64); found && err == nil {
			hb.Epoch = epoch
		}
		return found
	})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (hb *heartbeat) UnmarshalCBOR(raw []byte) error {
	if cbor.Unmarshal(raw, &hb.heartbeatFields) == nil {
		hb.takeEpoch()
		return nil
	}
	var extended extendedHeartbeat
	if err := cbor.Unmarshal(raw, &extended); err != nil {
		return err
	}
	hb.heartbeatFields, hb.PlatformUnreachable = extended.Fields, extended.PlatformUnreachable
	hb.takeEpoch()
	return nil
}
