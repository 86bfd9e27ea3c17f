package main

import (
	"bytes"
	"io"
	"testing"

	"thymechute/internal/testutil"
)

// A reader that has stopped blocks neither the lines, which are dropped over the queue's bound, nor the end.
func TestLogWriterNeverBlocks(t *testing.T) {
	_, destination := io.Pipe() // nobody reads it
	w := newLogWriter(destination)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * maxQueuedLines {
			_, _ = w.Write([]byte("line\n"))
		}
		w.close()
	}()
	testutil.Next(t, done, "the end of the log")
	destination.Close()
	testutil.Next(t, w.done, "the writer's end")
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
