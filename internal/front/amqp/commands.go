package amqp

import (
	"errors"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// command is an operation that a session executes for the front, on one of its goroutines. An error ends the session.
type command func(*session) error

// errDrained ends a session after its connection was closed in order.
var errDrained = errors.New("drained")

// consume starts consumers on all queues, each with the credit, and replaces the running ones.
func consume(credit int) command {
	return func(s *session) error {
		if err := s.cancelConsumers(); err != nil {
			return err
		}
		s.guard.allow(credit * len(s.config.Queues))
		if err := s.consumer.channel.Qos(credit, 0, false); err != nil {
			return err
		}
		s.consumer.starts++
		for queue := range s.config.Queues {
			if err := s.startConsumer(queue); err != nil {
				return err
			}
		}
		s.emit(event{kind: eventConsuming})
		return nil
	}
}

// startConsumer starts a consumer on the queue with an index, and a goroutine that reports its deliveries.
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

// consumerTag returns a tag that differs for each start, so that the last deliveries of a cancelled consumer are not taken for
// those of the next one.
func (s *session) consumerTag(index int) string {
	prefix := s.config.Queues[index].ConsumerTag
	if prefix == "" {
		prefix = s.name
	}
	return prefix + "-" + strconv.Itoa(index) + "-" + strconv.Itoa(s.consumer.starts)
}

// stopConsumers cancels the consumers; the event follows their last delivery.
func stopConsumers(s *session) error {
	if err := s.cancelConsumers(); err != nil {
		return err
	}
	s.emit(event{kind: eventConsumersEnded})
	return nil
}

// cancelConsumers cancels the consumers and waits until their last deliveries are reported.
func (s *session) cancelConsumers() error {
	for _, tag := range s.consumer.tags {
		if err := s.consumer.channel.Cancel(tag, false); err != nil {
			return err
		}
	}
	s.consumer.tags = s.consumer.tags[:0]
	s.consumer.readers.Wait()
	s.guard.allowNone()
	return nil
}

// ack acknowledges a message, so that the broker may deliver another one.
func ack(tag uint64) command {
	return func(s *session) error {
		s.guard.allow(1)
		return s.consumer.channel.Ack(tag, false)
	}
}

// returnToQueue returns a message to its queue, which delivers it again, marked as redelivered.
func returnToQueue(tag uint64) command {
	return func(s *session) error {
		s.guard.allow(1)
		return s.consumer.channel.Nack(tag, false, true)
	}
}

// discard rejects a message, which the broker publishes to the queue's own dead-letter exchange, if it has one.
func discard(tag uint64) command {
	return func(s *session) error {
		s.guard.allow(1)
		return s.consumer.channel.Nack(tag, false, false)
	}
}

// publish publishes a message; its confirm is reported with the publish number. If the broker has just closed the publishing
// channel, the message counts as not confirmed.
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
		s.publisher.published++
		s.publisher.numbers[s.publisher.published] = number
		return nil
	}
}

// closeConnection closes the connection in order: the broker has processed all settlements when it confirms that.
func closeConnection(s *session) error {
	s.guard.uncork()
	timeout := time.AfterFunc(closeTimeout, func() { s.guard.Close() })
	defer timeout.Stop()
	if err := s.connection.Close(); err != nil {
		return err
	}
	return errDrained
}
