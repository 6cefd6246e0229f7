package eventstream

import "bytes"

// Scanner follows a stream and reports where its events end. The zero value is at the start
// of a stream. It keeps no data.
//
// Lines end with LF, CRLF or CR, and a blank line ends an event. A CR at the end of the data
// may be the first half of a CRLF, so a blank line that ends with CR ends its event only once
// the next byte is known, unless the line before it ended with a CR alone.
type Scanner struct {
	// inLine is set within a line, after its first byte.
	inLine bool
	// comment is set within a line that is a comment.
	comment bool
	// fields is set if the current event has a line that isn't a comment.
	fields bool
	// cr is set if the last byte was a CR that ended a line; blank is set if that line was
	// blank and its event hasn't ended yet.
	cr, blank bool
	// loneCR is set if the last line before the current one ended with a CR alone.
	loneCR bool
	// events is the number of events that have ended.
	events int64
}

// Next reads data up to the end of an event, or to its own end. It returns the number of bytes
// read, and whether they end after a blank line, where no event is open.
func (s *Scanner) Next(data []byte) (n int, ended bool) {
	for n < len(data) {
		b := data[n]
		if s.cr {
			s.cr = false
			blank := s.blank
			s.blank = false
			if b == '\n' {
				s.loneCR = false
				n++
				if blank {
					s.endEvent()
					return n, true
				}
				continue
			}
			s.loneCR = true
			if blank {
				s.endEvent()
				return n, true
			}
		}
		if b != '\r' && b != '\n' {
			n += s.readLine(data[n:])
			continue
		}
		n++
		if s.endLine(b) {
			return n, true
		}
	}
	return n, false
}

// readLine reads the bytes of a line up to its end, without it, and returns their number.
func (s *Scanner) readLine(data []byte) int {
	if !s.inLine {
		s.inLine, s.comment = true, data[0] == ':'
	}
	if end := bytes.IndexAny(data, "\r\n"); end >= 0 {
		return end
	}
	return len(data)
}

// endLine reads the byte that ends a line. It reports whether this ends an event.
func (s *Scanner) endLine(b byte) bool {
	blank := !s.inLine
	s.fields = s.fields || !blank && !s.comment
	s.inLine, s.comment = false, false
	if b == '\r' && !(blank && s.loneCR) {
		s.cr, s.blank = true, blank
		return false
	}
	// After a lone CR as the end of a blank line, an LF would be the rest of a CRLF.
	s.cr, s.loneCR = b == '\r', b == '\r'
	if blank {
		s.endEvent()
	}
	return blank
}

func (s *Scanner) endEvent() {
	if s.fields {
		s.events++
	}
	s.fields = false
}

// Events returns the number of events that have ended. Blocks of comments aren't events.
func (s *Scanner) Events() int64 { return s.events }

// InEvent reports whether the data read so far ends inside an event or a line.
func (s *Scanner) InEvent() bool { return s.inLine || s.fields }
