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

// acceptRetryDelay is the pause after a failed accept. The usual cause is a lack of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// pastDeadline is a listener deadline that unblocks a pending accept.
var pastDeadline = time.Unix(1, 0)

// acceptedMarker is the gnet context of a connection that was accepted and not dialled.
type acceptedMarker struct{}

// listen listens on the address with SO_REUSEPORT, as a supervisor may hold the address between two incarnations. Accepted
// connections inherit the buffer size; 0 means the system's default.
func listen(address string, bufferBytes int) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		options := []socketOption{{unix.SO_REUSEPORT, 1}}
		if bufferBytes > 0 {
			options = append(options, socketOption{unix.SO_SNDBUF, bufferBytes}, socketOption{unix.SO_RCVBUF, bufferBytes})
		}
		return setOptions(raw, options)
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// socketOption is an option of level SOL_SOCKET.
type socketOption struct {
	name  int
	value int
}

func setOptions(raw syscall.RawConn, options []socketOption) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		for _, option := range options {
			err = errors.Join(err, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option.name, option.value))
		}
	})
	return errors.Join(err, controlErr)
}

// acceptConns passes accepted connections to the loop until closeListener sets a deadline in the past. It runs on a separate
// goroutine. Before it closes the listener it drains the kernel's accept queue: the close would reset the connections in it,
// which may have sent requests.
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
			l.log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		}
	}
}

// drainAcceptQueue accepts connections until the listener's queue is empty. It skips connections that were aborted in the queue.
func (l *Loop) drainAcceptQueue() {
	raw, err := l.listener.SyscallConn()
	for err == nil || errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EINTR) {
		var c net.Conn
		c, err = acceptNonblocking(raw)
		if err == nil {
			_, err = l.client.EnrollContext(c, acceptedMarker{})
		}
	}
	if !errors.Is(err, unix.EAGAIN) {
		l.log.Warn("accept failed", zap.Error(err))
	}
}

func acceptNonblocking(raw syscall.RawConn) (c net.Conn, err error) {
	controlErr := raw.Control(func(fd uintptr) { c, err = acceptFrom(int(fd)) })
	return c, errors.Join(controlErr, err)
}

func acceptFrom(listener int) (net.Conn, error) {
	fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	return net.FileConn(file)
}

// closeListener makes acceptConns close the listener, which is closed once l.listening is false.
func (l *Loop) closeListener() {
	if l.listenerClosing {
		return
	}
	l.listenerClosing = true
	l.log.Info("no longer listening")
	_ = l.listener.SetDeadline(pastDeadline)
}
