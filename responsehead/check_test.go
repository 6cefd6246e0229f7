package responsehead_test

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/responsehead"
)

// Guards against heads that net/http accepts and that are none, and against refusing heads that are.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		reason responsehead.Reason
	}{
		"plain":                       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Id:1\r\n\r\n", ""},
		"no reason phrase":            {"HTTP/1.1 200\r\n\r\n", ""},
		"empty reason phrase":         {"HTTP/1.1 503 \r\n\r\n", ""},
		"old version":                 {"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
		"interim":                     {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", ""},
		"lines with LF alone":         {"HTTP/1.1 200 OK\nContent-Length: 5\n\n", ""},
		"bytes over 127 in a value":   {"HTTP/1.1 200 OK\r\nX-Place: caf\xc3\xa9\xff\r\n\r\n", ""},
		"tabs around a value":         {"HTTP/1.1 200 OK\r\nX-Place: \t a\tb \t\r\n\r\n", ""},
		"empty value":                 {"HTTP/1.1 200 OK\r\nX-Place:\r\n\r\n", ""},
		"chunked":                     {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n", ""},
		"the same length twice":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", ""},
		"status 599":                  {"HTTP/1.1 599 X\r\n\r\n", ""},
		"status 000":                  {"HTTP/1.1 000 \r\n\r\n", responsehead.InvalidStatus},
		"status 099":                  {"HTTP/1.1 099 X\r\n\r\n", responsehead.InvalidStatus},
		"status 600":                  {"HTTP/1.1 600 X\r\n\r\n", responsehead.InvalidStatus},
		"status 20":                   {"HTTP/1.1 20 OK\r\n\r\n", responsehead.InvalidStatus},
		"status 2000":                 {"HTTP/1.1 2000 OK\r\n\r\n", responsehead.InvalidStatus},
		"status +20":                  {"HTTP/1.1 +20 OK\r\n\r\n", responsehead.InvalidStatus},
		"status -10":                  {"HTTP/1.1 -10 OK\r\n\r\n", responsehead.InvalidStatus},
		"no status":                   {"HTTP/1.1\r\n\r\n", responsehead.InvalidStatus},
		"two blanks":                  {"HTTP/1.1  200 OK\r\n\r\n", responsehead.InvalidStatus},
		"status after a tab":          {"HTTP/1.1\t200 OK\r\n\r\n", responsehead.InvalidStatus},
		"control byte in the phrase":  {"HTTP/1.1 200 O\x00K\r\n\r\n", responsehead.InvalidStatus},
		"another version":             {"HTTP/1.2 200 OK\r\n\r\n", responsehead.InvalidStatus},
		"version 2":                   {"HTTP/2.0 200 OK\r\n\r\n", responsehead.InvalidStatus},
		"name in small letters":       {"http/1.1 200 OK\r\n\r\n", responsehead.InvalidStatus},
		"empty":                       {"\r\n", responsehead.InvalidStatus},
		"upgrade":                     {"HTTP/1.1 101 Switching Protocols\r\n\r\n", responsehead.UnrequestedUpgrade},
		"blank before the colon":      {"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n", responsehead.InvalidField},
		"tab before the colon":        {"HTTP/1.1 200 OK\r\nContent-Length\t: 5\r\n\r\n", responsehead.InvalidField},
		"blank in a name":             {"HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\n", responsehead.InvalidField},
		"control byte in a name":      {"HTTP/1.1 200 OK\r\nX-\x01Id: 5\r\n\r\n", responsehead.InvalidField},
		"zero byte in a name":         {"HTTP/1.1 200 OK\r\nX-Id\x00: 5\r\n\r\n", responsehead.InvalidField},
		"byte over 127 in a name":     {"HTTP/1.1 200 OK\r\nX-\xe9: 5\r\n\r\n", responsehead.InvalidField},
		"empty name":                  {"HTTP/1.1 200 OK\r\n: 5\r\n\r\n", responsehead.InvalidField},
		"no colon":                    {"HTTP/1.1 200 OK\r\nContent-Length 5\r\n\r\n", responsehead.InvalidField},
		"control byte in a value":     {"HTTP/1.1 200 OK\r\nX-Id: a\x00b\r\n\r\n", responsehead.InvalidField},
		"delete in a value":           {"HTTP/1.1 200 OK\r\nX-Id: a\x7fb\r\n\r\n", responsehead.InvalidField},
		"carriage return in a value":  {"HTTP/1.1 200 OK\r\nX-Id: a\rContent-Length: 5\r\n\r\n", responsehead.InvalidField},
		"two carriage returns":        {"HTTP/1.1 200 OK\r\nX-Id: a\r\r\n\r\n", responsehead.InvalidField},
		"folded line":                 {"HTTP/1.1 200 OK\r\nX-Id: a\r\n b: c\r\n\r\n", responsehead.InvalidField},
		"folded first line":           {"HTTP/1.1 200 OK\r\n X-Id: a\r\n\r\n", responsehead.InvalidField},
		"lengths that differ":         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", responsehead.InvalidFraming},
		"list of lengths":             {"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n", responsehead.InvalidFraming},
		"length with a sign":          {"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n", responsehead.InvalidFraming},
		"negative length":             {"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", responsehead.InvalidFraming},
		"empty length":                {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", responsehead.InvalidFraming},
		"length beside chunks":        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", responsehead.InvalidFraming},
		"unknown coding":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", responsehead.InvalidFraming},
		"list of codings":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", responsehead.InvalidFraming},
		"identity":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n", responsehead.InvalidFraming},
		"chunked twice":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", responsehead.InvalidFraming},
		"chunked in the old version":  {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", responsehead.InvalidFraming},
		"control byte in the framing": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: \x0bchunked\r\n\r\n", responsehead.InvalidField},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			err := responsehead.Check([]byte(c.head))
			if c.reason == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var invalid *responsehead.Error
			g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
			g.Expect(invalid.Reason).To(Equal(c.reason), err.Error())
		})
	}
}

// Guards against a verdict that depends on how the bytes arrive.
func TestHeadIsCheckedByteByByte(t *testing.T) {
	g := NewWithT(t)
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "HTTP/1.1 000 \r\n\r\n"} {
		var c responsehead.Checker
		var err error
		for i := 0; i < len(head) && err == nil; i++ {
			_, err = c.Write([]byte{head[i]})
		}
		if want := responsehead.Check([]byte(head)); want != nil {
			g.Expect(err).To(MatchError(want.Error()))
			_, err = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			g.Expect(err).To(MatchError(want.Error()), "the error stays")
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Ended()).To(BeTrue())
		n, err := c.Write([]byte("hello"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeZero(), "bytes of the body")
	}
}

// Guards against an error that quotes a whole header.
func TestErrorIsShort(t *testing.T) {
	long := strings.Repeat("\x00", 1<<20)
	for _, head := range []string{"HTTP/1.1 " + long, long, "HTTP/1.1 200 OK\r\n" + long + ": 5\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", 1<<20) + "\r\n\r\n"} {
		err := responsehead.Check([]byte(head))
		NewWithT(t).Expect(len(err.Error())).To(BeNumerically("<", 256))
	}
}

// Guards against a response that a library has parsed although its head is invalid.
func TestCheckParsed(t *testing.T) {
	g := NewWithT(t)
	parse := func(head string) error {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		g.Expect(err).NotTo(HaveOccurred(), "net/http accepts it")
		defer func() { _ = resp.Body.Close() }()
		return responsehead.CheckParsed(resp)
	}
	g.Expect(parse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")).To(Succeed())
	for _, head := range []string{
		"HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 600 X\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
	} {
		g.Expect(parse(head)).NotTo(Succeed(), "%q", head)
	}
	for _, value := range []string{"a\x01b", "a\rb", "a\nb", "a\x7f"} {
		resp := &http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Header: http.Header{"X-Id": {value}}}
		g.Expect(responsehead.CheckParsed(resp)).NotTo(Succeed(), "%q", value)
	}
}

// Guards against a head that is accepted and that net/http reads otherwise.
func FuzzCheck(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n b\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 000\nContent-Length : 5\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(raw), len(raw)+16)
		resp, parseErr := http.ReadResponse(reader, nil)
		if parseErr != nil {
			return // the caller of Check has parsed the head
		}
		defer func() { _ = resp.Body.Close() }()
		head := raw[:len(raw)-reader.Buffered()]
		var checker responsehead.Checker
		checked, err := checker.Write(raw)
		if err != nil {
			return
		}
		if !checker.Ended() || checked != len(head) {
			t.Fatalf("the head of %q has %d bytes, %d were checked", raw, len(head), checked)
		}
		if err := responsehead.CheckParsed(resp); err != nil {
			t.Fatalf("%q is accepted, and its parsed form isn't: %v", head, err)
		}
		fields := bytes.Count(bytes.ToLower(head), []byte("\ncontent-length:"))
		switch {
		case fields > 0 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
			t.Fatalf("%q has a length that isn't used", head)
		case bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) && len(resp.TransferEncoding) == 0:
			t.Fatalf("%q has a transfer coding that isn't used", head)
		}
	})
}
