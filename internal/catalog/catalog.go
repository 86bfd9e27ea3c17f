// Package catalog reports to the catalog that this instance is here: datagrams of three words, no answer. An
// entry lasts 3 s and any report may be lost, so that ten go out in that time. The socket joins the loop. It must
// never wait for it, and nothing that goes wrong with it may reach further: a broken socket is opened anew for the
// next report. It keeps no table.
package catalog

import (
	"time"

	"thymechute/internal/loop"
)

const reportEvery = 300 * time.Millisecond

// Reporter sends the reports.
type Reporter struct {
	name   string
	dial   func(loop.Handler)
	socket *socket // none: the next report opens one
	next   time.Time
}

// New makes a reporter; dial opens a socket for it.
func New(name string, dial func(loop.Handler)) *Reporter { return &Reporter{name: name, dial: dial} }

// Sweep reports if it is time to.
func (r *Reporter) Sweep(now time.Time, good bool) {
	if now.Before(r.next) {
		return
	}
	if r.socket == nil {
		r.socket = &socket{r: r}
		r.dial(r.socket)
	}
	if r.socket.wire == nil {
		return
	}
	r.next = now.Add(reportEvery)
	state := " passing"
	if !good {
		state = " critical"
	}
	r.socket.wire.Write([]byte("alive " + r.name + state))
}

// Move reports to a new address from now on: the socket to the old one goes.
func (r *Reporter) Move() {
	if r.socket != nil && r.socket.wire != nil {
		r.socket.wire.Close()
	}
	r.socket, r.next = nil, time.Time{}
}

// socket is one of the reporter's; one that was replaced is of no use.
type socket struct {
	r    *Reporter
	wire loop.Conn // none before it stands
}

func (s *socket) Opened(w loop.Conn) {
	if s.wire = w; s.r.socket != s {
		w.Close()
	}
}

// Received drops what comes: reports get no answer.
func (s *socket) Received([]byte) error { return nil }

// Closed lets the next report open a socket.
func (s *socket) Closed(error) {
	r := s.r
	if r.socket != s {
		return
	}
	if r.socket = nil; r.next.Before(time.Now()) {
		r.next = time.Now().Add(reportEvery)
	}
}
