package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("bundle")

// signersNeeded is how many different operators must sign a bundle.
const signersNeeded = 2

// signContext keeps a signature on a bundle from being one on anything else.
const signContext = "aspenswitch bundle\n"

// Signed is what the users publish: the bundle's text and its signatures.
type Signed struct {
	Bundle     string      `json:"bundle"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one operator's.
type Signature struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Operator is somebody who may sign, with the public key that routers know from
// their settings.
type Operator struct {
	Name      string `json:"name"`
	PublicKey []byte `json:"publicKey"`
}

// Sign adds an operator's signature, in place of an earlier one of the same.
func (s *Signed) Sign(operator string, key ed25519.PrivateKey) {
	sig := Signature{Operator: operator, Signature: ed25519.Sign(key, s.message())}
	s.Signatures = slices.DeleteFunc(s.Signatures, func(o Signature) bool { return o.Operator == operator })
	s.Signatures = append(s.Signatures, sig)
}

func (s *Signed) message() []byte { return []byte(signContext + s.Bundle) }

// Digest names the content of the bundle's text.
func (s *Signed) Digest() string {
	sum := sha256.Sum256([]byte(s.Bundle))
	return hex.EncodeToString(sum[:])
}

// Verify checks that two different operators signed. Two names with one key
// count as one operator: a person must not sign off alone.
func (s *Signed) Verify(operators []Operator) error {
	signed := map[string]bool{}
	for _, sig := range s.Signatures {
		i := slices.IndexFunc(operators, func(o Operator) bool { return o.Name == sig.Operator })
		if i < 0 {
			return Error.New("signed by %q, who is not an operator", sig.Operator)
		}
		key := ed25519.PublicKey(operators[i].PublicKey)
		if len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, s.message(), sig.Signature) {
			return Error.New("the signature of %q is not valid", sig.Operator)
		}
		signed[string(key)] = true
	}
	if len(signed) < signersNeeded {
		return Error.New("signed by %d operators, needs %d different ones", len(signed), signersNeeded)
	}
	return nil
}

// Open verifies the signatures and parses the bundle.
func (s *Signed) Open(operators []Operator) (*Bundle, error) {
	if err := s.Verify(operators); err != nil {
		return nil, err
	}
	b, findings := Parse("bundle", []byte(s.Bundle))
	if err := findings.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}
