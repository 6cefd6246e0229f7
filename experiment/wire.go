package experiment

import (
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"

	"github.com/aspenswitch/aspenswitch/peer"
)

// wire counts the bytes between nodes as the daemon sends them: JSON-RPC
// notifications, each direction of each pair compressed as one stream.
type wire struct {
	nodes    int
	plain    []int
	packed   []int
	messages int
	streams  map[int]*flate.Writer
}

func newWire(nodes int) *wire {
	return &wire{
		nodes: nodes, plain: make([]int, nodes), packed: make([]int, nodes),
		streams: map[int]*flate.Writer{},
	}
}

// counter adds what is written to a node's bytes.
type counter struct{ bytes *int }

func (c counter) Write(p []byte) (int, error) {
	*c.bytes += len(p)
	return len(p), nil
}

// maxPackedNodes bounds the compressors that are kept: one for each pair.
const maxPackedNodes = 16

func (w *wire) count(from, to int, params []byte) {
	w.messages++
	message := fmt.Sprintf(`{"jsonrpc":"2.0","method":"sync","params":%s}`, params)
	w.plain[from] += len(message)
	if w.nodes > maxPackedNodes {
		return
	}
	s, ok := w.streams[from*w.nodes+to]
	if !ok {
		s, _ = flate.NewWriter(counter{&w.packed[from]}, peer.CompressionLevel)
		w.streams[from*w.nodes+to] = s
	}
	_, _ = io.WriteString(s, message)
	_ = s.Flush()
}

// reset forgets the bytes, not what the compressors have seen.
func (w *wire) reset() {
	clear(w.plain)
	clear(w.packed)
	w.messages = 0
}
