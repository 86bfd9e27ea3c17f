package testutil

import (
	"bytes"
	"fmt"
	"io"
	"testing"
)

// FakeIndex is a fake of the index, the dependency that runs call. The test sends its replies with Send.
type FakeIndex struct{ FakePeer }

// NewFakeIndex returns an index that listens on a free port until the test ends.
func NewFakeIndex(t *testing.T) *FakeIndex {
	t.Helper()
	x := &FakeIndex{newFakePeer(t)}
	t.Cleanup(x.Shutdown)
	return x
}

// AwaitClose waits until the program has closed the connection.
func (x *FakeIndex) AwaitClose() {
	x.t.Helper()
	x.awaitClose(x.readLine)
}

// ExpectCall waits for a call and returns its request ID and body.
func (x *FakeIndex) ExpectCall() (rid, body string) {
	x.t.Helper()
	line, err := x.readLine()
	var timeoutMillis, size int
	_, parseErr := fmt.Sscanf(line, "GET %s %d %d\r\n", &rid, &timeoutMillis, &size)
	if err != nil || parseErr != nil || timeoutMillis < 1 {
		x.t.Fatalf("the index received %q, want a call (%v)", line, err)
	}
	content := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(x.reader, content); err != nil || !bytes.HasSuffix(content, []byte("\r\n")) {
		x.t.Fatalf("the call's body is incomplete: received %q (%v)", content, err)
	}
	return rid, string(content[:size])
}
