// Package testutil contains helpers for the tests of several packages: the program as a process with fakes of its peers (client
// stubs, runtime, index, catalog), clusters of processes, and helpers that wait for conditions. A wait ends with the event that
// it waits for, and after a timeout the test fails. Only tests import the package.
package testutil

import (
	"net"
	"testing"
)

const (
	maxDatagramSize   = 2000 // bytes of a report to the catalog
	maxPendingReports = 1000 // reports that no test has received; more are dropped
)

// Environment is the program with fakes of all its peers.
type Environment struct {
	T              *testing.T
	Config         map[string]any // of the program, by the keys of its configuration file
	Program        *Program       // nil until it is started
	ListenAddress  string         // of the program
	Runtime        *FakeRuntime
	Index          *FakeIndex
	Catalog        net.PacketConn
	CatalogReports chan string // datagrams received by Catalog
}

// NewEnvironment starts the fakes and prepares the program's configuration, changed by change unless that is nil. It does
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

// ConnectWithPendingCall sends a request of class seal and runs it up to its call, which the index has received. It returns
// the stub that waits for the response.
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
