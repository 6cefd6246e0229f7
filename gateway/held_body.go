package gateway

import (
	"errors"
	"io"
)

// errNoRoom is returned for a body that the budget has no room for.
var errNoRoom = errors.New("gateway: no room for the body")

// bodyGrowth is the factor by which the buffer of a body grows. At most this many times the bytes that
// have arrived are allocated.
const bodyGrowth = 4

// heldBody is the body of a request and its room in the budget.
type heldBody struct {
	budget *bodyBudget
	team   string
	// requests returns the number of pending requests.
	requests func() int64
	bytes    []byte
	// room is nil if the body takes none.
	room *bodyRoom
}

// charge returns what a buffer of n bytes takes from the budget.
func charge(n int64) int64 { return max(n-IncludedBodyBytes, 0) }

// read reads src, whose size was announced as size, -1 if it is unknown, up to limit bytes. It
// allocates as bytes arrive: an announced size alone takes no memory. It calls onProgress, with the
// number of bytes that have been received, before each read that may have to wait for bytes of the body.
func (h *heldBody) read(src io.Reader, size, limit int64, onProgress func(received int64) error) error {
	announced := size
	if size < 0 || size > limit {
		size = limit
	}
	// A byte more than the size, so that the end of the body is read.
	h.bytes = make([]byte, 0, min(size+1, IncludedBodyBytes))
	for {
		if len(h.bytes) == cap(h.bytes) {
			if err := h.grow(size + 1); err != nil {
				return err
			}
		}
		if received := int64(len(h.bytes)); received != announced {
			if err := onProgress(received); err != nil {
				return err
			}
		}
		n, err := src.Read(h.bytes[len(h.bytes):cap(h.bytes)])
		h.bytes = h.bytes[:len(h.bytes)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case int64(len(h.bytes)) > limit:
			return errBodyTooLarge
		}
	}
}

// errBodyTooLarge is returned for a body over the limit of the configuration.
var errBodyTooLarge = errors.New("gateway: the body is over the limit")

// grow enlarges the buffer up to maxSize. The room of both buffers is taken while the bytes are copied.
func (h *heldBody) grow(maxSize int64) error {
	size := min(int64(cap(h.bytes))*bodyGrowth, maxSize)
	n := charge(size)
	if n > 0 && !h.budget.take(h.team, n, h.requests()) {
		return errNoRoom
	}
	larger := make([]byte, len(h.bytes), size)
	copy(larger, h.bytes)
	h.bytes = larger
	switch {
	case h.room != nil:
		h.budget.give(h.team, h.room.bytes)
		h.room.bytes = n
	case n > 0:
		h.room = newBodyRoom(h.budget, h.team, n)
	}
	return nil
}

// share adds a user of the bytes beside the request. It returns the function that ends its use.
func (h *heldBody) share() (end func()) {
	if h.room == nil {
		return func() {}
	}
	return h.room.share()
}

// release drops the body and ends the request's use of its room. It may be called repeatedly.
func (h *heldBody) release() {
	h.bytes = nil
	if h.room != nil {
		h.room.end()
		h.room = nil
	}
}
