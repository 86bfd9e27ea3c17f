// This file owns where connections come from: the listener and its end, dialling, and their joining of the loop.

package loop

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const acceptRetryDelay = 5 * time.Millisecond // after a failed accept

type acceptedMarker struct{}

// listen opens the address. Who supervises the instance may keep it bound between two lives, so it has to be shared.
func listen(address string) (*net.TCPListener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		failed := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, failed)
	}}
	l, err := shared.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// attachEventLoop gets hold of gnet's loop, which gnet names only through a connection on it. This datagram socket sends
// nothing and goes at once.
func (l *Loop) attachEventLoop() error {
	c, err := net.Dial("udp", l.listener.Addr().String())
	if err != nil {
		return err
	}
	g, err := l.client.Enroll(c)
	if err != nil {
		return err
	}
	l.eventLoop = g.EventLoop()
	return g.Close()
}

// acceptConns brings the callers' connections into the loop. A deadline in the past is the listener's end: what the
// system has accepted by then joins as well, as a close would reset it, with the requests that it may hold.
func (l *Loop) acceptConns() {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.drainAcceptQueue()
			l.listener.Close()
			l.Post(func() { l.listening = false })
			return
		}
		if err == nil {
			_, err = l.client.EnrollContext(c, acceptedMarker{})
		}
		if err != nil {
			l.log.Warn("not accepted", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		}
	}
}

// drainAcceptQueue takes what stands in the listener's queue, until it is empty. One that is gone before it is taken must
// not leave those behind it.
func (l *Loop) drainAcceptQueue() {
	raw, err := l.listener.SyscallConn()
	for err == nil || errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EINTR) {
		var c net.Conn
		err = nil
		failed := raw.Control(func(fd uintptr) { c, err = acceptOne(int(fd)) })
		if err = errors.Join(failed, err); err == nil {
			_, err = l.client.EnrollContext(c, acceptedMarker{})
		}
	}
	if !errors.Is(err, unix.EAGAIN) {
		l.log.Warn("not accepted", zap.Error(err))
	}
}

func acceptOne(listener int) (net.Conn, error) {
	fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}

// closeListener begins the listener's end; no more is listened on once l.listening is false.
func (l *Loop) closeListener() {
	if !l.listenerClosing {
		l.listenerClosing = true
		l.log.Info("no longer listening")
		_ = l.listener.SetDeadline(time.Unix(1, 0))
	}
}

// Dial opens a connection for the peer; Opened or Closed follows on the loop.
func (l *Loop) Dial(network, address string, patience time.Duration, p Handler) {
	go func() {
		c, err := net.DialTimeout(network, address, patience)
		if err == nil {
			_, err = l.client.EnrollContext(c, p)
		}
		if err != nil {
			l.Post(func() { p.Closed(&ConnError{false, err}) })
		}
	}()
}
