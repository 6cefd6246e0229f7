// Package ctl implements the commands of aspenswitchctl, the operators' tool.
package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/jsonc"
	"github.com/aspenswitch/aspenswitch/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("aspenswitchctl")

// Check validates a bundle file. It prints a summary, or returns an error that lists
// all findings.
func Check(out io.Writer, file string) error {
	b, err := readBundle(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "no findings: version %d, %d teams, %d pools, %d upstreams\n",
		b.Version, len(b.Teams), len(b.Pools), len(b.Upstreams))
	return nil
}

func readBundle(file string) (*bundle.Bundle, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b, findings := bundle.Parse(file, raw)
	if len(findings) > 0 {
		return nil, Error.New("%d findings\n%w", len(findings), findings)
	}
	return b, nil
}

// Diff prints the changes from one bundle file to another, one per line.
func Diff(out io.Writer, from, to string) error {
	a, err := readBundle(from)
	if err != nil {
		return err
	}
	b, err := readBundle(to)
	if err != nil {
		return err
	}
	for _, line := range bundle.Diff(a, b) {
		fmt.Fprintln(out, line)
	}
	return nil
}

// keyFileMode makes a key file readable by its owner only.
const keyFileMode = 0o600

// Keygen writes a new operator's private key to file, which must not exist, and prints
// the public key.
func Keygen(out io.Writer, file string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if errors.Is(err, os.ErrExist) {
		return Error.New("%s already exists; keys are not overwritten", file)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.WriteString(base64.StdEncoding.EncodeToString(private) + "\n")
	if err := errors.Join(err, f.Close()); err != nil {
		return Error.Wrap(err)
	}
	fmt.Fprintln(out, base64.StdEncoding.EncodeToString(public))
	return nil
}

// Sign adds an operator's signature to a bundle or to a signed file and writes the
// result to outFile. It refuses to sign a bundle with findings.
func Sign(file, outFile, operator, keyFile string) error {
	key, err := readKey(keyFile)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	signed := &bundle.Signed{}
	if json.Unmarshal(raw, signed) != nil || signed.Bundle == "" {
		signed = &bundle.Signed{Bundle: string(raw)}
	}
	if _, findings := bundle.Parse(file, []byte(signed.Bundle)); len(findings) > 0 {
		return Error.New("%d findings\n%w", len(findings), findings)
	}
	signed.Sign(operator, key)
	data, err := json.MarshalIndent(signed, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(outFile, append(data, '\n'), 0o644))
}

func readKey(file string) (ed25519.PrivateKey, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) != ed25519.PrivateKeySize {
		return nil, Error.New("%s is not a key file created by aspenswitchctl bundle keygen", file)
	}
	return key, nil
}

// Verify checks the signatures of a signed file against the operators in a router's
// settings.
func Verify(out io.Writer, settingsFile, file string) error {
	s, err := settings.Load(settingsFile)
	if err != nil {
		var findings jsonc.Findings
		if errors.As(err, &findings) {
			return Error.New("%d findings\n%w", len(findings), findings)
		}
		return err
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	signed := &bundle.Signed{}
	if err := json.Unmarshal(raw, signed); err != nil {
		return Error.New("%s is not a signed bundle: %v", file, err)
	}
	b, err := signed.Open(s.Operators)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "version %d, signed by two operators\n", b.Version)
	return nil
}
