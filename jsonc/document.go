package jsonc

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed file. Checks of the values add findings to it.
type Document struct {
	file     string
	raw      []byte
	root     hujson.Value
	findings Findings
}

// Decode reads raw into the struct that v points to. Findings about the form
// are in the document; the caller adds its own with Add and ends with Findings.
func Decode(file string, raw []byte, v any) *Document {
	d := &Document{file: file, raw: raw}
	root, err := hujson.Parse(bytes.Clone(raw))
	if err != nil {
		d.syntax(err)
		return d
	}
	d.root = root
	d.walk(&d.root, reflect.ValueOf(v).Elem(), "")
	return d
}

// syntax notes a file that is no JSON at all. The parser's message begins with
// the place.
func (d *Document) syntax(err error) {
	f := Finding{File: d.file, Message: err.Error()}
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &f.Column); n == 2 {
		_, f.Message, _ = strings.Cut(f.Message, ": line")
		_, f.Message, _ = strings.Cut(f.Message, ": ")
	}
	d.findings = append(d.findings, f)
}

// Add notes a finding about the value at a JSON pointer; a value that is not
// there is placed at its nearest parent.
func (d *Document) Add(path, format string, args ...any) {
	at := path
	v := d.root.Find(at)
	for v == nil && at != "" {
		at = at[:strings.LastIndexByte(at, '/')]
		v = d.root.Find(at)
	}
	offset := 0
	if v != nil {
		offset = v.StartOffset
	}
	d.addAt(offset, path, fmt.Sprintf(format, args...))
}

// maxFindings bounds the report: a file with more is not a bundle that somebody
// wrote, and looking for each place would take a time that grows with its square.
const maxFindings = 200

func (d *Document) addAt(offset int, path, message string) {
	if len(d.findings) >= maxFindings {
		return
	}
	before := d.raw[:min(offset, len(d.raw))]
	d.findings = append(d.findings, Finding{
		File:    d.file,
		Line:    bytes.Count(before, []byte("\n")) + 1,
		Column:  len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1,
		Path:    path,
		Message: message,
	})
}

// Findings returns what was found, by place.
func (d *Document) Findings() Findings { return d.findings.sorted() }
