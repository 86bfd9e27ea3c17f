package amqp

import (
	"errors"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// command is an operation that the front submits and the session executes on one of its goroutines. An error ends the session.
type command func(*session) error

// errDrained is the error with which serve ends after closeConnection has closed the connection.
var errDrained = errors.New("drained")

// consume replaces the active consumers by new ones on all queues, each with the credit.
func consume(credit int) command {
	return func(s *session) error {
		if err := s.cancelConsumers(); err != nil {
			return err
		}
		s.socket.addCredit(credit * len(s.config.Queues))
		if err := s.consumer.channel.Qos(credit, 0, false); err != nil {
			return err
		}
		s.consumer.startCount++
		for queue := range s.config.Queues {
			if err := s.startConsumer(queue); err != nil {
				return err
			}
		}
		s.emit(event{kind: eventConsuming})
		return nil
	}
}

// startConsumer starts a consumer on the configured queue with the index, and a goroutine that emits its deliveries.
func (s *session) startConsumer(index int) error {
	queue := s.config.Queues[index]
	arguments := amqp.Table{}
	for _, argument := range queue.Arguments {
		arguments[argument.Name], _ = argument.TypedValue()
	}
	tag := s.consumerTag(index)
	deliveries, err := s.consumer.channel.Consume(queue.Name, tag, false, false, false, false, arguments)
	if err != nil {
		return err
	}
	s.consumer.tags = append(s.consumer.tags, tag)
	s.consumer.readers.Go(func() {
		for delivery := range deliveries {
			s.emit(event{kind: eventDelivered, delivery: delivery, receivedAt: time.Now(), queue: index})
		}
	})
	return nil
}

// consumerTag returns a tag that is different after each start, so that the last deliveries for a cancelled consumer are not
// attributed to its successor.
func (s *session) consumerTag(index int) string {
	prefix := s.config.Queues[index].ConsumerTag
	if prefix == "" {
		prefix = s.name
	}
	return prefix + "-" + strconv.Itoa(index) + "-" + strconv.Itoa(s.consumer.startCount)
}

// stopConsumers cancels the consumers and emits eventConsumersEnded after their last delivery.
func stopConsumers(s *session) error {
	if err := s.cancelConsumers(); err != nil {
		return err
	}
	s.emit(event{kind: eventConsumersEnded})
	return nil
}

// cancelConsumers cancels the consumers and waits until the events of their last deliveries have been emitted.
func (s *session) cancelConsumers() error {
	for _, tag := range s.consumer.tags {
		if err := s.consumer.channel.Cancel(tag, false); err != nil {
			return err
		}
	}
	s.consumer.tags = s.consumer.tags[:0]
	s.consumer.readers.Wait()
	s.socket.revokeCredit()
	return nil
}

// ack acknowledges a message. Like every settlement, it permits the broker to deliver one more message.
func ack(tag uint64) command {
	return func(s *session) error {
		s.socket.addCredit(1)
		return s.consumer.channel.Ack(tag, false)
	}
}

// nackAndRequeue returns a message to its queue. The broker delivers it again, marked as redelivered.
func nackAndRequeue(tag uint64) command {
	return func(s *session) error {
		s.socket.addCredit(1)
		return s.consumer.channel.Nack(tag, false, true)
	}
}

// nackAndDiscard removes a message from its queue. The broker dead-letters it if the queue itself is set up with a dead-letter
// exchange.
func nackAndDiscard(tag uint64) command {
	return func(s *session) error {
		s.socket.addCredit(1)
		return s.consumer.channel.Nack(tag, false, false)
	}
}

// publish publishes a message. Its confirm is reported by an event with the publish number. If the broker has just closed the
// publishing channel, the publish is reported as not accepted.
func publish(number uint64, exchange, key string, publishing amqp.Publishing) command {
	return func(s *session) error {
		publishing.Headers[publishNumberHeader] = int64(number)
		if err := s.publisher.channel.Publish(exchange, key, true, false, publishing); err != nil {
			if s.connection.IsClosed() {
				return err
			}
			s.emit(event{kind: eventConfirmed, publishNumber: number})
			return nil
		}
		s.publisher.publishedCount++
		s.publisher.publishNumbers[s.publisher.publishedCount] = number
		return nil
	}
}

// closeConnection performs the AMQP close handshake. Once the broker replies, it has processed all earlier settlements.
func closeConnection(s *session) error {
	s.socket.uncork()
	timeout := time.AfterFunc(closeTimeout, func() { s.socket.Close() })
	defer timeout.Stop()
	if err := s.connection.Close(); err != nil {
		return err
	}
	return errDrained
}
