// This file owns where connections come from: the listener, dialling, and their joining of the loop.

package loop

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// find gets hold of gnet's loop, which gnet names only through a connection on it. This datagram socket sends
// nothing and goes at once.
func (l *Loop) find() error {
	c, err := net.Dial("udp", l.listen.Addr().String())
	if err != nil {
		return err
	}
	g, err := l.client.Enroll(c)
	if err != nil {
		return err
	}
	l.el = g.EventLoop()
	return g.Close()
}

// accept brings the callers' connections into the loop, until the listener is closed.
func (l *Loop) accept() {
	for {
		c, err := l.listen.Accept()
		if err == nil {
			_, err = l.client.EnrollContext(c, accepted{})
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Warn("not accepted", zap.Error(err))
			time.Sleep(acceptGap)
		}
	}
}

type accepted struct{}

// Dial opens a connection for the peer; Opened or Closed follows on the loop.
func (l *Loop) Dial(network, address string, patience time.Duration, p Peer) {
	go func() {
		c, err := net.DialTimeout(network, address, patience)
		if err == nil {
			_, err = l.client.EnrollContext(c, p)
		}
		if err != nil {
			l.Do(func() { p.Closed(&Broken{false, err}) })
		}
	}()
}
