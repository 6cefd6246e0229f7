package fleet

import "github.com/fxamacker/cbor/v2"

// extendedPlaceRequest is a placeRequest of a request that must run at one software version.
// Routers of earlier releases can't decode it, so all other requests are sent without it; to such
// a request they don't answer, and the next home is asked.
type extendedPlaceRequest struct {
	_       struct{} `cbor:",toarray"`
	Fields  placeRequestFields
	Version string
}

// MarshalCBOR implements cbor.Marshaler.
func (req *placeRequest) MarshalCBOR() ([]byte, error) {
	if req.Version == "" {
		return cbor.Marshal(&req.placeRequestFields)
	}
	return cbor.Marshal(&extendedPlaceRequest{Fields: req.placeRequestFields, Version: req.Version})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (req *placeRequest) UnmarshalCBOR(raw []byte) error {
	if cbor.Unmarshal(raw, &req.placeRequestFields) == nil {
		return nil
	}
	var extended extendedPlaceRequest
	if err := cbor.Unmarshal(raw, &extended); err != nil {
		return err
	}
	req.placeRequestFields, req.Version = extended.Fields, extended.Version
	return nil
}
