package loop

import (
	"net"
	"time"
)

// Dial connects to the address on a separate goroutine and returns at once. The loop then calls the handler's Opened, or its
// Closed if the connection fails or the timeout expires.
func (l *Loop) Dial(network, address string, timeout time.Duration, handler Handler) {
	go func() {
		if err := l.connect(network, address, timeout, handler); err != nil {
			l.Post(func() { handler.Closed(&ConnError{Connected: false, Err: err}) })
		}
	}()
}

func (l *Loop) connect(network, address string, timeout time.Duration, handler Handler) error {
	c, err := net.DialTimeout(network, address, timeout)
	if err != nil {
		return err
	}
	_, err = l.client.EnrollContext(c, handler)
	return err
}
