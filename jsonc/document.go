package jsonc

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed file and the findings about it.
type Document struct {
	file     string
	raw      []byte
	root     hujson.Value
	findings Findings
}

// Decode decodes raw into the struct that v points to. The returned document holds
// the findings about syntax, fields and types; the caller adds findings about values
// with Add and reads all of them with Findings.
func Decode(file string, raw []byte, v any) *Document {
	d := &Document{file: file, raw: raw}
	root, err := hujson.Parse(bytes.Clone(raw))
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.root = root
	d.decodeValue(&d.root, reflect.ValueOf(v).Elem(), "")
	return d
}

// addSyntaxError adds a finding for a file that isn't valid JSON. The parser's message
// begins with the line and the column.
func (d *Document) addSyntaxError(err error) {
	f := Finding{File: d.file, Message: err.Error()}
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &f.Column); n == 2 {
		_, f.Message, _ = strings.Cut(f.Message, ": line")
		_, f.Message, _ = strings.Cut(f.Message, ": ")
	}
	d.findings = append(d.findings, f)
}

// Add adds a finding about the value at a JSON pointer. If the value is absent, the
// finding has the position of its nearest parent.
func (d *Document) Add(path, format string, args ...any) {
	nearest := path
	v := d.root.Find(nearest)
	for v == nil && nearest != "" {
		nearest = nearest[:strings.LastIndexByte(nearest, '/')]
		v = d.root.Find(nearest)
	}
	offset := 0
	if v != nil {
		offset = v.StartOffset
	}
	d.addAt(offset, path, fmt.Sprintf(format, args...))
}

// maxFindings bounds the report. A file with more findings is not a bundle, settings
// file or similar input that somebody wrote, and locating each of them would take
// quadratic time.
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

// Findings returns the findings, sorted by position.
func (d *Document) Findings() Findings { return d.findings.sorted() }
