// Package testutil contains helpers for the tests of several packages: it runs the program as a process with fakes of its peers
// (client stubs, runtime, index, catalog), runs clusters of processes, and waits for conditions. A wait returns as soon as its
// condition holds, and fails the test after a timeout. Only tests import the package.
package testutil

import (
	"net"
	"testing"
)

const (
	maxDatagramSize   = 2000 // bytes; longer reports to the catalog are truncated
	maxPendingReports = 1000 // reports that the test has not received yet; further ones are dropped
)

// Environment is the program and fakes of all its peers.
type Environment struct {
	T              *testing.T
	Config         map[string]any // the program's configuration, by the keys of its file
	Program        *Program       // nil until the program is started
	ListenAddress  string         // of the program
	Runtime        *FakeRuntime
	Index          *FakeIndex
	Catalog        net.PacketConn
	CatalogReports chan string // datagrams received by Catalog
}

// NewEnvironment starts the fakes and prepares the program's configuration, which change may modify unless it is nil. It does
// not start the program.
func NewEnvironment(t *testing.T, change func(config map[string]any)) *Environment {
	t.Helper()
	e := &Environment{
		T:              t,
		ListenAddress:  FreeAddress(t),
		Runtime:        NewFakeRuntime(t),
		Index:          NewFakeIndex(t),
		CatalogReports: make(chan string, maxPendingReports),
	}
	e.listenCatalog()
	e.Config = map[string]any{
		"name":      "n3",
		"listen":    e.ListenAddress,
		"runtime":   e.Runtime.Address,
		"index":     e.Index.Address,
		"directory": e.Catalog.LocalAddr().String(),
		"seed":      "8c1f30d27a5be964",
		"stop_ms":   3000,
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"settings":  Settings(),
	}
	if change != nil {
		change(e.Config)
	}
	return e
}

// StartEnvironment starts the program in a new environment and waits until its runtime link is up.
func StartEnvironment(t *testing.T, change func(config map[string]any)) *Environment {
	t.Helper()
	e := NewEnvironment(t, change)
	e.Program = StartProgram(t, e.Config)
	e.Runtime.AcceptSync(0, "new", 0)
	return e
}

func (e *Environment) listenCatalog() {
	e.T.Helper()
	var err error
	e.Catalog, err = net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		e.T.Fatal(err)
	}
	e.T.Cleanup(func() { e.Catalog.Close() })
	go receiveReports(e.Catalog, e.CatalogReports)
}

func receiveReports(socket net.PacketConn, reports chan<- string) {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, _, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		select {
		case reports <- string(buffer[:size]):
		default:
		}
	}
}

// ConnectWithPendingCall sends a request of class seal from a new stub, starts its run and returns once the index has received
// the run's call. The returned stub waits for the answer.
func (e *Environment) ConnectWithPendingCall(rid, body string) *Stub {
	e.T.Helper()
	stub := e.Connect()
	stub.SendRequest(1, "seal", rid, body, "")
	e.Runtime.ExpectCommand("start")
	e.Runtime.SendCall(1, rid, "call")
	e.Index.Accept()
	e.Index.ExpectCall()
	return stub
}
