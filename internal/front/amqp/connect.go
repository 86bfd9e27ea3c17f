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

// connect opens the connection and its channels, and checks that all queues and exchanges exist. On an error, the returned
// failure classifies it for the controller.
func (s *session) connect(address string) (intake.Failure, error) {
	conn, err := s.dial(address)
	if err != nil {
		return intake.ConnectFailed, err
	}
	s.socket = newCheckedConn(conn, s.config.MaxBodyBytes, s.confirmTimeout())
	timeout := time.AfterFunc(connectTimeout, func() { conn.Close() })
	defer timeout.Stop()
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

// dial opens a TCP connection, with TLS if that is configured.
func (s *session) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil || s.config.TLSConfig == nil {
		return conn, err
	}
	tlsConfig := s.config.TLSConfig.Clone()
	if tlsConfig.ServerName == "" {
		tlsConfig.ServerName, _, _ = net.SplitHostPort(address)
	}
	return tls.Client(conn, tlsConfig), nil
}

// login performs the AMQP handshake and authentication.
func (s *session) login() (intake.Failure, error) {
	var err error
	s.connection, err = amqp.Open(s.socket, amqp.Config{
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
	case s.socket.wasClosedByBroker():
		return failureOf(err), err
	default:
		return intake.ConnectFailed, fmt.Errorf("AMQP login failed: %v", err)
	}
}

// openChannels opens one channel for consuming and one for publishing, after it has checked the queues and exchanges.
func (s *session) openChannels() (err error) {
	s.consumer.channel, err = s.connection.Channel()
	if err != nil {
		return err
	}
	if err := s.checkQueuesAndExchanges(); err != nil {
		return err
	}
	return s.openPublisher()
}

// failureOf returns RejectedByBroker for errors that are likely to recur on a retry, and ConnectFailed for all others.
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

// checkQueuesAndExchanges checks that all configured queues and exchanges exist. It uses a separate channel because the broker
// closes the channel when one is missing.
func (s *session) checkQueuesAndExchanges() error {
	channel, err := s.connection.Channel()
	if err != nil {
		return err
	}
	defer channel.Close()
	for _, queue := range s.config.Queues {
		if _, err := channel.QueueDeclarePassive(queue.Name, true, false, false, false, nil); err != nil {
			return fmt.Errorf("check that queue %q exists: %w", queue.Name, err)
		}
		if err := channel.ExchangeDeclarePassive(queue.DeadLetterExchange, amqp.ExchangeDirect, true, false, false, false, nil); err != nil {
			return fmt.Errorf("check that exchange %q exists: %w", queue.DeadLetterExchange, err)
		}
	}
	return nil
}
