package testutil

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

const (
	waitTimeout  = 20 * time.Second // after which a wait fails its test
	pollInterval = time.Millisecond // between two evaluations of a condition
)

// TestingT is the part of *testing.T and *rapid.T that the waits use.
type TestingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Eventually polls until the condition holds.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Next receives the next value of the channel.
func Next[T any](t TestingT, from <-chan T, what string) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(waitTimeout):
		t.Fatalf("nothing received: %s", what)
	}
	return value
}

// NextMatching receives from the channel until a value matches, and returns that.
func NextMatching[T any](t *testing.T, from <-chan T, what string, matches func(T) bool) T {
	t.Helper()
	for {
		if value := Next(t, from, what); matches(value) {
			return value
		}
	}
}

// FreeAddress returns an address with a port that is free. Its IP address differs from 127.0.0.1, from which outgoing connections
// are made, so that none of them can be assigned the port before the program listens on it.
func FreeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
