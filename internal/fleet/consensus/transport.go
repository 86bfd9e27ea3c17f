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
	maxProcessName   = 200         // bytes
	handshakeTimeout = time.Second // from accepting a connection until its handshake line has been read
)

// errWrongProcess reports a connection intended for another process, most likely for the predecessor at this address.
var errWrongProcess = errors.New("consensus: connection closed: its handshake does not name this process")

// serverAddress returns the address under which raft knows a process: host:port/process. raft connects to a peer by its
// address alone, and a restarted process has the address of its predecessor but not its votes and entries. Therefore each
// dialer first sends a line that names the intended process, and any other process closes the connection.
func serverAddress(address, process string) raft.ServerAddress {
	return raft.ServerAddress(address + "/" + process)
}

// streamLayer implements raft.StreamLayer. Outgoing connections use the bound host, so that the others can tell their origin.
type streamLayer struct {
	net.Listener
	process   string
	advertise net.Addr
	dialer    net.Dialer
	wrapConn  func(net.Conn) net.Conn // nil: connections are not wrapped
}

func listen(c Config) (*streamLayer, error) {
	listener, err := net.Listen("tcp", c.Bind)
	if err != nil {
		return nil, fmt.Errorf("consensus: bind transport: %w", err)
	}
	l := &streamLayer{Listener: listener, process: c.Process, advertise: listener.Addr(), wrapConn: c.WrapConn}
	if bound, ok := listener.Addr().(*net.TCPAddr); ok && !bound.IP.IsUnspecified() {
		l.dialer.LocalAddr = &net.TCPAddr{IP: bound.IP}
	}
	if c.Advertise != "" {
		if l.advertise, err = net.ResolveTCPAddr("tcp", c.Advertise); err != nil {
			listener.Close()
			return nil, fmt.Errorf("consensus: resolve advertised address: %w", err)
		}
	}
	return l, nil
}

func (l *streamLayer) wrap(c net.Conn) net.Conn {
	if l.wrapConn == nil {
		return c
	}
	return l.wrapConn(c)
}

// Addr returns the address that the others dial.
func (l *streamLayer) Addr() net.Addr {
	return streamAddr(serverAddress(l.advertise.String(), l.process))
}

// streamAddr is a raft.ServerAddress as a net.Addr.
type streamAddr raft.ServerAddress

// Network implements net.Addr.
func (streamAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a streamAddr) String() string { return string(a) }

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	hostPort, process, _ := strings.Cut(string(address), "/")
	dialer := l.dialer
	dialer.Timeout = timeout
	conn, err := dialer.Dial("tcp", hostPort)
	if err != nil {
		return nil, err
	}
	conn = l.wrap(conn)
	if _, err := io.WriteString(conn, process+"\n"); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// Accept implements net.Listener. It does not wait for the handshake, which the first Read reads, so that a slow dialer does
// not block the others.
func (l *streamLayer) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn = l.wrap(conn)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return &acceptedConn{Conn: conn, reader: bufio.NewReaderSize(conn, maxProcessName), process: l.process}, nil
}

// acceptedConn is an accepted connection that checks the handshake. raft reads it on one goroutine.
type acceptedConn struct {
	net.Conn
	reader  *bufio.Reader
	process string // expected in the handshake; empty once it has been read
}

// Read implements io.Reader.
func (c *acceptedConn) Read(p []byte) (int, error) {
	if c.process != "" {
		if err := c.handshake(); err != nil {
			c.Close()
			return 0, err
		}
	}
	return c.reader.Read(p)
}

func (c *acceptedConn) handshake() error {
	line, err := c.reader.ReadSlice('\n')
	if err != nil || string(line) != c.process+"\n" {
		return errors.Join(errWrongProcess, err)
	}
	c.process = ""
	_ = c.SetReadDeadline(time.Time{})
	return nil
}
