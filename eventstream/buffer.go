package eventstream

import "errors"

// ErrEventTooLarge is returned for an event that is larger than a Buffer.
var ErrEventTooLarge = errors.New("eventstream: event is larger than the buffer")

// Buffer holds the bytes of a stream until their events are complete.
type Buffer struct {
	// MaxBytes limits the bytes of an incomplete event.
	MaxBytes int

	scanner Scanner
	data    []byte
	// complete is the length of the complete events in data; taken is the length of what Take
	// has returned.
	complete, taken int
	// open is the number of bytes since the last complete event, taken or not.
	open int64
}

// Write adds received bytes. It returns ErrEventTooLarge if an incomplete event has more than
// MaxBytes; the bytes are kept until the next call of Reset.
func (b *Buffer) Write(p []byte) error {
	b.discardTaken()
	start := len(b.data)
	last := start
	b.data = append(b.data, p...)
	for read := start; read < len(b.data); {
		n, ended := b.scanner.Next(b.data[read:])
		read += n
		if ended {
			b.complete, last, b.open = read, read, 0
		}
	}
	b.open += int64(len(b.data) - last)
	if len(b.data)-b.complete > b.MaxBytes {
		return ErrEventTooLarge
	}
	return nil
}

func (b *Buffer) discardTaken() {
	b.data = append(b.data[:0], b.data[b.taken:]...)
	b.complete -= b.taken
	b.taken = 0
}

// Take returns the complete events that it hasn't returned yet. They are valid until the next
// call of Write.
func (b *Buffer) Take() []byte {
	events := b.data[b.taken:b.complete]
	b.taken = b.complete
	return events
}

// TakeAll returns all bytes that haven't been returned yet, also those of an incomplete event.
func (b *Buffer) TakeAll() []byte {
	rest := b.data[b.taken:]
	b.taken, b.complete = len(b.data), len(b.data)
	return rest
}

// OpenBytes returns the number of bytes since the last complete event. It also counts those that
// TakeAll has returned.
func (b *Buffer) OpenBytes() int64 { return b.open }

// Scanner returns the position of the stream after all bytes written so far.
func (b *Buffer) Scanner() *Scanner { return &b.scanner }

// Reset prepares the buffer for another stream.
func (b *Buffer) Reset() {
	*b = Buffer{MaxBytes: b.MaxBytes, data: b.data[:0]}
}
