package testutil

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

const (
	waitTimeout  = 20 * time.Second // after which a wait fails the test
	pollInterval = time.Millisecond // between evaluations of a condition
)

// TestingT is the part of *testing.T and *rapid.T that Next uses.
type TestingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Eventually polls until holds returns true. condition describes it in the message of a failed wait.
func Eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// Next receives the next value from the channel. description is that of the value, for the message of a failed wait.
func Next[T any](t TestingT, from <-chan T, description string) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(waitTimeout):
		t.Fatalf("timed out waiting for: %s", description)
	}
	return value
}

// NextMatching receives values from the channel until one matches, and returns it.
func NextMatching[T any](t *testing.T, from <-chan T, description string, matches func(T) bool) T {
	t.Helper()
	for {
		if value := Next(t, from, description); matches(value) {
			return value
		}
	}
}

// FreeAddress returns a loopback address with a free port. Its IP is not 127.0.0.1, from which outgoing connections are made, as
// one of these could otherwise be assigned the port before the program listens on it.
func FreeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
