package peer

import (
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a peer that makes the router allocate a message that it only announces.
func TestAnnouncedMessageTakesNoMemory(t *testing.T) {
	g := NewWithT(t)
	const conns = 8
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range conns {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		sender, err := newFlateConn(client)
		g.Expect(err).NotTo(HaveOccurred())
		receiver, err := newFlateConn(server)
		g.Expect(err).NotTo(HaveOccurred())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			var v any
			_ = newStream(receiver).ReadObject(&v)
		}()
		_, err = sender.Write(binary.AppendUvarint(nil, maxMessage))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sender.Flush()).To(Succeed())
		time.Sleep(10 * time.Millisecond)
		_ = client.Close()
		<-ended
	}
	runtime.ReadMemStats(&after)
	// Most of it is for the compression.
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", conns*maxMessage/4))
}
