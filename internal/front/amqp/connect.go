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

const locale = "en_US"

// connect sets up the session: the connection, the channels, and a check that all queues and exchanges exist. The failure
// classifies an error for the controller.
func (s *session) connect(address string) (intake.Failure, error) {
	conn, err := s.dial(address)
	if err != nil {
		return intake.ConnectFailed, err
	}
	s.guard = newGuard(conn, s.config.MaxBodyBytes, s.confirmTimeout())
	stopTimeout := time.AfterFunc(connectTimeout, func() { conn.Close() })
	defer stopTimeout.Stop()
	if failure, err := s.login(); err != nil {
		return failure, err
	}
	if err := s.openChannels(); err != nil {
		return failureOf(err), err
	}
	return 0, nil
}

func (s *session) confirmTimeout() time.Duration {
	return time.Duration(s.config.ConfirmTimeoutSeconds) * time.Second
}

// dial connects over TCP, and TLS if it is configured.
func (s *session) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil || s.config.TLSConfig == nil {
		return conn, err
	}
	secure := s.config.TLSConfig.Clone()
	if secure.ServerName == "" {
		secure.ServerName, _, _ = net.SplitHostPort(address)
	}
	return tls.Client(conn, secure), nil
}

// login opens the AMQP connection.
func (s *session) login() (intake.Failure, error) {
	var err error
	s.connection, err = amqp.Open(s.guard, amqp.Config{
		Vhost:      s.config.Credentials.Vhost,
		ChannelMax: maxChannels,
		FrameSize:  maxFrameSize,
		Heartbeat:  time.Duration(s.config.HeartbeatSeconds) * time.Second,
		Locale:     locale,
		SASL:       []amqp.Authentication{&amqp.PlainAuth{Username: s.config.Username, Password: s.config.Password}},
		Properties: amqp.Table{"product": "thymechute", "connection_name": s.name},
	})
	switch {
	case err == nil:
		return 0, nil
	case s.guard.wasClosedByBroker():
		return failureOf(err), err
	default:
		return intake.ConnectFailed, fmt.Errorf("at the login: %v", err)
	}
}

// openChannels opens the channels for consuming and publishing.
func (s *session) openChannels() (err error) {
	s.consumer.channel, err = s.connection.Channel()
	if err != nil {
		return err
	}
	if err := s.checkNames(); err != nil {
		return err
	}
	return s.openPublisher()
}

// failureOf returns RejectedByBroker for errors that a retry will not change, and ConnectFailed for all others.
func failureOf(err error) intake.Failure {
	var brokerError *amqp.Error
	if errors.As(err, &brokerError) {
		switch brokerError.Code {
		case amqp.AccessRefused, amqp.NotFound, amqp.NotAllowed, amqp.ResourceLocked, amqp.PreconditionFailed:
			return intake.RejectedByBroker
		}
	}
	return intake.ConnectFailed
}

// checkNames checks that all queues and exchanges exist. It uses a channel of its own, as a missing one closes the channel.
func (s *session) checkNames() error {
	channel, err := s.connection.Channel()
	if err != nil {
		return err
	}
	defer channel.Close()
	for _, queue := range s.config.Queues {
		if _, err := channel.QueueDeclarePassive(queue.Name, true, false, false, false, nil); err != nil {
			return fmt.Errorf("queue %s: %w", queue.Name, err)
		}
		if err := channel.ExchangeDeclarePassive(queue.DeadLetterExchange, amqp.ExchangeDirect, true, false, false, false, nil); err != nil {
			return fmt.Errorf("exchange %s: %w", queue.DeadLetterExchange, err)
		}
	}
	return nil
}
