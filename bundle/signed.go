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

// requiredSigners is the number of different operators that must sign a bundle.
const requiredSigners = 2

// signaturePrefix is prepended to the signed text for domain separation: a signature
// on a bundle is not valid for any other kind of data.
const signaturePrefix = "aspenswitch bundle\n"

// Signed is the published form of a bundle: its text and signatures.
type Signed struct {
	Bundle     string      `json:"bundle"`
	Signatures []Signature `json:"signatures"`
}

// Signature is an operator's Ed25519 signature.
type Signature struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Operator is a person who may sign bundles. Routers read operators and their
// Ed25519 public keys from their settings.
type Operator struct {
	Name      string `json:"name"`
	PublicKey []byte `json:"publicKey"`
}

// Sign adds an operator's signature and replaces an earlier one of the same operator.
func (s *Signed) Sign(operator string, key ed25519.PrivateKey) {
	sig := Signature{Operator: operator, Signature: ed25519.Sign(key, s.signedMessage())}
	s.Signatures = slices.DeleteFunc(s.Signatures, func(o Signature) bool { return o.Operator == operator })
	s.Signatures = append(s.Signatures, sig)
}

func (s *Signed) signedMessage() []byte { return []byte(signaturePrefix + s.Bundle) }

// Digest returns the SHA-256 of the bundle's text in hex.
func (s *Signed) Digest() string {
	sum := sha256.Sum256([]byte(s.Bundle))
	return hex.EncodeToString(sum[:])
}

// Verify checks that all signatures are valid and that two different operators
// signed. Operators are counted by public key, so that one person with two names
// can't approve a bundle alone.
func (s *Signed) Verify(operators []Operator) error {
	signed := map[string]bool{}
	for _, sig := range s.Signatures {
		i := slices.IndexFunc(operators, func(o Operator) bool { return o.Name == sig.Operator })
		if i < 0 {
			return Error.New("signed by %q, which is not a configured operator", sig.Operator)
		}
		key := ed25519.PublicKey(operators[i].PublicKey)
		if len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, s.signedMessage(), sig.Signature) {
			return Error.New("the signature of %q is not valid", sig.Operator)
		}
		signed[string(key)] = true
	}
	if len(signed) < requiredSigners {
		return Error.New("signed by %d operators, needs %d different ones", len(signed), requiredSigners)
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
