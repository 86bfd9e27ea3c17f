package loop

import "errors"

// Conn is a connection as its Handler sees it. All calls are made on the loop.
type Conn interface {
	// Write copies p and sends it at the end of the current tick at the latest.
	Write(p []byte)
	// Close stops delivering input. A dialled connection closes at once, an accepted one once its handler has nothing
	// pending and all output is sent.
	Close()
}

// Handler handles the events of one connection. All calls are made on the loop.
type Handler interface {
	// Opened is the first call for an established connection.
	Opened(conn Conn)
	// Received handles input; p is valid only during the call. An error closes the connection.
	Received(p []byte) error
	// Closed is the last call. err is a *ConnError. If Opened was not called before, the connection was never
	// established.
	Closed(err error)
}

// ServerHandler is the handler of an accepted connection.
type ServerHandler interface {
	Handler
	// HasPending reports whether a reply is still to be written. The connection stays open for it.
	HasPending() bool
}

// ConnError is the reason why a connection ended or was not established.
type ConnError struct {
	Connected bool // the connection had been established
	Err       error
}

func (e *ConnError) Error() string {
	if e.Connected {
		return "connection ended: " + e.Err.Error()
	}
	return "connect failed: " + e.Err.Error()
}

// Unwrap returns the underlying error of the network or the handler.
func (e *ConnError) Unwrap() error { return e.Err }

// errHandlerPanicked is the reason for closing a connection whose handler panicked in Received.
var errHandlerPanicked = errors.New("handler panicked")

// discardHandler ignores the input of a connection for which the host has no capacity.
type discardHandler struct{}

func (discardHandler) Opened(Conn)           {}
func (discardHandler) Received([]byte) error { return nil }
func (discardHandler) Closed(error)          {}
func (discardHandler) HasPending() bool      { return false }
