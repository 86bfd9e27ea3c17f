// Package testutil is what all tests share: a host that writes down what the module does, the program as a process, and
// stand-ins for the parties it talks to, written from the protocol's page. They wait on events, never on time
// alone; the patience below only ends a test that is stuck. Nothing but tests imports it.
package testutil

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

const patience = 20 * time.Second

// Environment is the program with its stand-ins.
type Environment struct {
	T              *testing.T
	Config         map[string]any
	Program        *Program
	Listen         string
	Runtime        *FakePeer
	Index          *FakePeer
	Catalog        net.PacketConn
	CatalogReports chan string // the catalog's
}

// NewEnvironment makes the stand-ins and the configuration, changed as asked; nothing is started.
func NewEnvironment(t *testing.T, change func(given map[string]any)) *Environment {
	t.Helper()
	w := &Environment{T: t, Listen: FreeAddress(t), Runtime: NewFakePeer(t), Index: NewFakePeer(t), CatalogReports: make(chan string, 1000)}
	var err error
	if w.Catalog, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Catalog.Close() })
	go func() {
		b := make([]byte, 2000)
		for {
			n, _, err := w.Catalog.ReadFrom(b)
			if err != nil {
				return
			}
			select {
			case w.CatalogReports <- string(b[:n]):
			default:
			}
		}
	}()
	w.Config = map[string]any{"name": "n3", "listen": w.Listen, "runtime": w.Runtime.Address, "index": w.Index.Address,
		"directory": w.Catalog.LocalAddr().String(), "seed": "8c1f30d27a5be964", "stop_ms": 3000,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": Settings()}
	if change != nil {
		change(w.Config)
	}
	return w
}

// Serve starts the program and its runtime, and waits until it is up.
func Serve(t *testing.T, change func(given map[string]any)) *Environment {
	t.Helper()
	w := NewEnvironment(t, change)
	w.Program = Start(t, w.Config)
	w.Runtime.Sync(0, "new", 0)
	return w
}

// AtCall brings a request of the class seal to its call, which the index has read, and returns its stub.
func (w *Environment) AtCall(rid, body string) *Stub {
	w.T.Helper()
	s := w.Stub()
	s.Ask(1, "seal", rid, body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.RequestCall(1, rid, "call")
	w.Index.Accept()
	w.Index.ExpectCall()
	return s
}

// FreeAddress is one that nothing listens on. It lies apart from 127.0.0.1, from which all dial: the port of a connection on
// its way would else take it before the program does.
func FreeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Eventually waits until it holds.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Test is a test, or a case of a state machine (rapid.T).
type Test interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Next takes what comes from the channel.
func Next[T any](t Test, from <-chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(patience):
		t.Fatalf("nothing came: %s", what)
	}
	return x
}

// Until takes from the channel until what it wants comes.
func Until[T any](t *testing.T, from <-chan T, what string, wanted func(T) bool) T {
	t.Helper()
	for {
		if x := Next(t, from, what); wanted(x) {
			return x
		}
	}
}
