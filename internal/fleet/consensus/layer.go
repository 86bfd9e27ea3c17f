// This file owns raft's stream: where it listens and dials, and that a connection reaches the one life it is meant for. It
// must never let a process answer for another.

package consensus

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

const (
	longestName = 200         // of a process
	greetFor    = time.Second // a connection that was accepted names whom it wants by then
)

// errOther is of a connection that was meant for another process, most likely an earlier life at this address.
var errOther = errors.New("log: a connection for another process")

// located is where raft finds a process: its host:port with the process behind it. raft knows a server by its address alone,
// and a process that starts cold stands at the address of the life before, whose votes and entries it has lost. So each
// dial says in its first line whom it wants, and anybody else ends the connection.
func located(address, process string) raft.ServerAddress {
	return raft.ServerAddress(address + "/" + process)
}

// layer is raft's stream: its dials leave from the bound host, so that the others know whose they are.
type layer struct {
	net.Listener
	process   string
	advertise net.Addr
	dialer    net.Dialer
	stream    func(net.Conn) net.Conn // nil: connections as they are
}

func (y *layer) wrap(c net.Conn) net.Conn {
	if y.stream == nil {
		return c
	}
	return y.stream(c)
}

func listen(bind, advertise, process string) (*layer, error) {
	l, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	y := &layer{Listener: l, process: process, advertise: l.Addr()}
	if at, ok := l.Addr().(*net.TCPAddr); ok && !at.IP.IsUnspecified() {
		y.dialer.LocalAddr = &net.TCPAddr{IP: at.IP}
	}
	if advertise != "" {
		if y.advertise, err = net.ResolveTCPAddr("tcp", advertise); err != nil {
			l.Close()
			return nil, fmt.Errorf("log advertise: %w", err)
		}
	}
	return y, nil
}

// Addr is what the others are told.
func (y *layer) Addr() net.Addr { return name(located(y.advertise.String(), y.process)) }

// name is such an address as net has it.
type name raft.ServerAddress

func (name) Network() string  { return "tcp" }
func (n name) String() string { return string(n) }

// Dial implements raft.StreamLayer.
func (y *layer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	host, process, _ := strings.Cut(string(address), "/")
	d := y.dialer
	d.Timeout = timeout
	c, err := d.Dial("tcp", host)
	if err != nil {
		return nil, err
	}
	c = y.wrap(c)
	if _, err := io.WriteString(c, process+"\n"); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Accept implements net.Listener: who is wanted is read with the connection's first bytes, so that nobody holds up others.
func (y *layer) Accept() (net.Conn, error) {
	c, err := y.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c = y.wrap(c)
	_ = c.SetReadDeadline(time.Now().Add(greetFor))
	return &greeted{Conn: c, in: bufio.NewReaderSize(c, longestName), process: y.process}, nil
}

// greeted is a connection that was accepted. raft reads it on one goroutine.
type greeted struct {
	net.Conn
	in      *bufio.Reader
	process string // wanted; empty once it was
}

func (g *greeted) Read(p []byte) (int, error) {
	if g.process != "" {
		line, err := g.in.ReadSlice('\n')
		if err != nil || string(line) != g.process+"\n" {
			g.Close()
			return 0, errors.Join(errOther, err)
		}
		g.process = ""
		_ = g.SetReadDeadline(time.Time{})
	}
	return g.in.Read(p)
}
