package experiment

import (
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"

	"github.com/aspenswitch/aspenswitch/peer"
)

// trafficMeter counts the bytes between nodes as the daemon sends them: JSON-RPC
// notifications, with one compressed stream per direction of each pair of nodes.
type trafficMeter struct {
	nodes        int
	uncompressed []int
	compressed   []int
	messages     int
	streams      map[int]*flate.Writer
}

func newTrafficMeter(nodes int) *trafficMeter {
	return &trafficMeter{
		nodes: nodes, uncompressed: make([]int, nodes), compressed: make([]int, nodes),
		streams: map[int]*flate.Writer{},
	}
}

// byteCounter is a writer that adds the number of bytes written to *bytes.
type byteCounter struct{ bytes *int }

func (c byteCounter) Write(p []byte) (int, error) {
	*c.bytes += len(p)
	return len(p), nil
}

// maxCompressedNodes bounds the number of compressors, which is one for each ordered pair of nodes.
const maxCompressedNodes = 16

func (w *trafficMeter) count(from, to int, params []byte) {
	w.messages++
	message := fmt.Sprintf(`{"jsonrpc":"2.0","method":"sync","params":%s}`, params)
	w.uncompressed[from] += len(message)
	if w.nodes > maxCompressedNodes {
		return
	}
	s, ok := w.streams[from*w.nodes+to]
	if !ok {
		s, _ = flate.NewWriter(byteCounter{&w.compressed[from]}, peer.CompressionLevel)
		w.streams[from*w.nodes+to] = s
	}
	_, _ = io.WriteString(s, message)
	_ = s.Flush()
}

// reset clears the counts but keeps the state of the compressors.
func (w *trafficMeter) reset() {
	clear(w.uncompressed)
	clear(w.compressed)
	w.messages = 0
}
