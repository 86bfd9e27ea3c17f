// This file owns how a session comes to stand: dialling, the login, the names it needs, its publisher.

package amqp

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"thymechute/internal/decide/intake"
)

// connect brings it up: connection, channels, and all names that it will need.
func (s *session) connect(address string) (intake.Far, error) {
	raw, err := net.DialTimeout("tcp", address, dialFor)
	if err != nil {
		return intake.Unreached, err
	}
	if s.told.TLSConfig != nil {
		secure := s.told.TLSConfig.Clone()
		if secure.ServerName == "" {
			secure.ServerName, _, _ = net.SplitHostPort(address)
		}
		raw = tls.Client(raw, secure)
	}
	s.guard = newGuard(raw, s.told.MaxBodyBytes, time.Duration(s.told.ConfirmTimeoutSeconds)*time.Second)
	stuck := time.AfterFunc(dialFor, func() { raw.Close() })
	defer stuck.Stop()
	s.conn, err = amqp.Open(s.guard, amqp.Config{Vhost: s.told.Credentials.Vhost, ChannelMax: mostChannels,
		FrameSize: mostFrame, Heartbeat: time.Duration(s.told.HeartbeatSeconds) * time.Second, Locale: "en_US",
		SASL:       []amqp.Authentication{&amqp.PlainAuth{Username: s.told.Username, Password: s.told.Password}},
		Properties: amqp.Table{"product": "thymechute", "connection_name": s.name}})
	if err != nil {
		if far := farOf(err); s.guard.wasRefused() {
			return far, err
		}
		return intake.Unreached, fmt.Errorf("at the login: %v", err)
	}
	if s.in, err = s.conn.Channel(); err == nil {
		err = s.check()
	}
	if err == nil {
		err = s.publisher()
	}
	if err != nil {
		return farOf(err), err
	}
	return 0, nil
}

// farOf: what the broker itself refuses it will refuse again.
func farOf(err error) intake.Far {
	var e *amqp.Error
	if errors.As(err, &e) {
		switch e.Code {
		case amqp.AccessRefused, amqp.NotFound, amqp.NotAllowed, amqp.ResourceLocked, amqp.PreconditionFailed:
			return intake.Refused
		}
	}
	return intake.Unreached
}

// check asks for the names on a channel of its own: a missing one closes the channel that asks.
func (s *session) check() error {
	ch, err := s.conn.Channel()
	if err != nil {
		return err
	}
	defer ch.Close()
	for _, q := range s.told.Queues {
		if _, err := ch.QueueDeclarePassive(q.Name, true, false, false, false, nil); err != nil {
			return fmt.Errorf("queue %s: %w", q.Name, err)
		}
		if err := ch.ExchangeDeclarePassive(q.DeadLetterExchange, "direct", true, false, false, false, nil); err != nil {
			return fmt.Errorf("exchange %s: %w", q.DeadLetterExchange, err)
		}
	}
	return nil
}

// publisher opens the channel that publishes. Its lists of notices hold as many as can be out, so that the library
// never waits for this session while this one waits for the library.
func (s *session) publisher() (err error) {
	if s.out, err = s.conn.Channel(); err != nil {
		return err
	}
	if err = s.out.Confirm(false); err != nil {
		return err
	}
	s.published, s.numbers = 0, map[uint64]uint64{}
	s.confirms = s.out.NotifyPublish(make(chan amqp.Confirmation, cap(s.orders)))
	s.returns = s.out.NotifyReturn(make(chan amqp.Return, cap(s.orders)))
	s.lost = s.out.NotifyClose(make(chan *amqp.Error, 1))
	return nil
}
