// Package catalog reports to the catalog that this instance is here: one datagram a second, three words, no answer.
// The socket joins the loop. It must never wait for it, and nothing that goes wrong with it may reach further: a
// broken socket is opened anew for the next report. It keeps no table.
package catalog

import (
	"time"

	"thymechute/internal/loop"
)

const reportEvery = time.Second

// Reporter sends the reports.
type Reporter struct {
	name    string
	dial    func(loop.Peer)
	wire    loop.Wire
	dialing bool
	next    time.Time
}

// New makes a reporter; dial opens a socket for it.
func New(name string, dial func(loop.Peer)) *Reporter { return &Reporter{name: name, dial: dial} }

// Sweep reports if it is time to.
func (r *Reporter) Sweep(now time.Time, good bool) {
	if now.Before(r.next) {
		return
	}
	if r.wire == nil {
		if !r.dialing {
			r.dialing = true
			r.dial(r)
		}
		return
	}
	r.next = now.Add(reportEvery)
	state := " passing"
	if !good {
		state = " critical"
	}
	r.wire.Write([]byte("alive " + r.name + state))
}

func (r *Reporter) Opened(w loop.Wire) { r.wire, r.dialing = w, false }

// Read drops what comes: reports get no answer.
func (r *Reporter) Read([]byte) error { return nil }

// Closed lets the next report open a socket.
func (r *Reporter) Closed(error) {
	if r.wire, r.dialing = nil, false; r.next.Before(time.Now()) {
		r.next = time.Now().Add(reportEvery)
	}
}
