package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

const maxWaitingConns = 100 // accepted connections that the test has not taken with Accept

// FakePeer is a fake server that the program connects to. It serves one connection at a time.
type FakePeer struct {
	t            *testing.T
	listener     net.Listener
	Address      string // at which it listens
	waitingConns chan net.Conn
	conn         net.Conn
	reader       *bufio.Reader
}

func newFakePeer(t *testing.T) FakePeer {
	t.Helper()
	p := FakePeer{t: t}
	p.Listen("127.0.0.1:0")
	return p
}

// Listen accepts connections at the address until Shutdown.
func (p *FakePeer) Listen(address string) {
	p.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.listener = listener
	p.Address = listener.Addr().String()
	p.waitingConns = make(chan net.Conn, maxWaitingConns)
	go acceptAll(listener, p.waitingConns)
}

func acceptAll(listener net.Listener, conns chan<- net.Conn) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		conns <- c
	}
}

// Shutdown stops listening and closes the current connection.
func (p *FakePeer) Shutdown() {
	p.listener.Close()
	if p.conn != nil {
		p.conn.Close()
	}
}

// Accept waits for the next connection, which then replaces the current one.
func (p *FakePeer) Accept() {
	p.t.Helper()
	p.conn = Next(p.t, p.waitingConns, "a connection to a fake peer")
	p.reader = bufio.NewReader(p.conn)
}

// Disconnect closes the current connection.
func (p *FakePeer) Disconnect() { p.conn.Close() }

// Send formats text and writes it to the current connection.
func (p *FakePeer) Send(format string, args ...any) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p.conn, format, args...); err != nil {
		p.t.Fatal(err)
	}
}

func (p *FakePeer) readLine() (string, error) {
	_ = p.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	return p.reader.ReadString('\n')
}

// awaitClose reads lines until the program has closed the connection.
func (p *FakePeer) awaitClose(readLine func() (string, error)) {
	p.t.Helper()
	for {
		_, err := readLine()
		if err == io.EOF {
			return
		}
		if err != nil {
			p.t.Fatal(err)
		}
	}
}
