package runtimelink

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
)

// session handles one connection of a link. Input of a replaced session is ignored, as its successor requests the notices
// after the last one that was read.
type session struct {
	link *Link
	conn loop.Conn // nil before it is open
}

// Opened makes the connection the link's, unless the session was replaced while it was dialled.
func (s *session) Opened(conn loop.Conn) {
	s.conn = conn
	if s.link.latest != s {
		conn.Close()
		return
	}
	s.link.replaceConn(conn)
}

// Received reads notices. It returns an error, which closes the connection, for a line that is not a notice.
func (s *session) Received(data []byte) error {
	l := s.link
	if s.conn != l.conn {
		return nil
	}
	l.unansweredSince = time.Time{}
	return l.lines.Feed(data, func(line []byte) error {
		n, err := decodeNotice(line)
		if err != nil {
			return fmt.Errorf("invalid notice from the runtime: %w", err)
		}
		l.handle(n)
		return nil
	})
}

// Closed dials again after the backoff, unless the link has another connection or is dialling one.
func (s *session) Closed(err error) {
	l := s.link
	if s.conn != nil && s.conn == l.conn {
		l.log.Warn("runtime link lost", zap.Error(err))
		l.conn = nil
		l.resynced = false
	}
	if l.latest == s {
		l.scheduleReopen(s)
	}
}
