// Package catalog reports this instance to the service catalog: datagrams of three words ("alive", the instance's name and
// its health) that get no answer.
//
// The catalog removes an entry that was not reported for 3 s. As datagrams may be lost, ten are sent in that time. After an
// error the socket is closed, and the next report opens another one. A Reporter belongs to the event loop; its methods must
// be called on the loop's goroutine and do not block.
package catalog

import (
	"time"

	"thymechute/internal/loop"
	"thymechute/internal/node"
)

// reportInterval is a tenth of an entry's lifetime in the catalog.
const reportInterval = 300 * time.Millisecond

// Reporter sends the reports.
type Reporter struct {
	name       string
	dial       func(loop.Handler)
	socket     *socket // nil: the next report opens one
	nextReport time.Time
}

// New returns a reporter for the instance of that name; dial opens a socket for a handler.
func New(name string, dial func(loop.Handler)) *Reporter { return &Reporter{name: name, dial: dial} }

// ReportIfDue reports the instance's health if reportInterval has passed since the last report.
func (r *Reporter) ReportIfDue(now time.Time, status node.HealthStatus) {
	if now.Before(r.nextReport) {
		return
	}
	if r.socket == nil {
		r.socket = &socket{reporter: r}
		r.dial(r.socket)
	}
	if r.socket.conn == nil {
		return
	}
	r.nextReport = now.Add(reportInterval)
	r.socket.conn.Write(r.report(status))
}

// report returns the datagram.
func (r *Reporter) report(status node.HealthStatus) []byte {
	state := "critical"
	if status == node.Healthy {
		state = "passing"
	}
	return []byte("alive " + r.name + " " + state)
}

// Move closes the socket after a change of the catalog's address; the next report is due at once.
func (r *Reporter) Move() {
	if r.socket != nil && r.socket.conn != nil {
		r.socket.conn.Close()
	}
	r.socket = nil
	r.nextReport = time.Time{}
}

// socket is one socket of the reporter. A replaced socket is ignored.
type socket struct {
	reporter *Reporter
	conn     loop.Conn // nil before it is open
}

// Opened closes a socket that was replaced while it was dialled.
func (s *socket) Opened(conn loop.Conn) {
	s.conn = conn
	if s.reporter.socket != s {
		conn.Close()
	}
}

// Received ignores data: reports get no answer.
func (s *socket) Received([]byte) error { return nil }

// Closed makes the next report open another socket, reportInterval later at the earliest.
func (s *socket) Closed(error) {
	r := s.reporter
	if r.socket != s {
		return
	}
	r.socket = nil
	if now := time.Now(); r.nextReport.Before(now) {
		r.nextReport = now.Add(reportInterval)
	}
}
