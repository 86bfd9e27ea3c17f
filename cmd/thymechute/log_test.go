package main

import (
	"bytes"
	"io"
	"testing"

	"thymechute/internal/testutil"
)

// If nothing reads the log, neither Write nor close blocks; lines are dropped once the queue is full.
func TestLogWriterNeverBlocks(t *testing.T) {
	_, destination := io.Pipe() // nothing reads it
	w := newLogWriter(destination)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * maxQueuedLines {
			_, _ = w.Write([]byte("line\n"))
		}
		w.close()
	}()
	testutil.Next(t, done, "all lines written and the log closed")
	destination.Close()
	testutil.Next(t, w.done, "the end of the writer goroutine")
}

func TestLogWriterKeepsLinesInOrder(t *testing.T) {
	var destination bytes.Buffer
	w := newLogWriter(&destination)
	line := []byte("first\n")
	_, _ = w.Write(line)
	copy(line, "other\n") // the caller may reuse its buffer
	_, _ = w.Write([]byte("second\n"))
	w.close()
	if got := destination.String(); got != "first\nsecond\n" {
		t.Errorf("got %q", got)
	}
}
