package scale

import (
	"io"
	"net"
	"testing"
)

// Bytes in both directions and calls of Write are counted, and OnWrite receives the bytes written.
func TestCountedConn(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	counter := &ConnCounter{}
	traced := ""
	counted := &CountedConn{Conn: near, Counter: counter, OnWrite: func(written []byte) { traced += string(written) }}
	defer counted.Close()
	go func() {
		_, _ = io.ReadFull(far, make([]byte, len("requests")))
		_, _ = io.WriteString(far, "answer")
	}()
	for _, part := range []string{"request", "s"} {
		if _, err := io.WriteString(counted, part); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := io.ReadFull(counted, make([]byte, len("answer"))); err != nil {
		t.Fatal(err)
	}
	expected := ConnCounts{SentBytes: int64(len("requests")), ReceivedBytes: int64(len("answer")), Writes: 2}
	if found := counter.Counts(); found != expected || traced != "requests" {
		t.Errorf("found %+v and %q, expected %+v and %q", found, traced, expected, "requests")
	}
}
