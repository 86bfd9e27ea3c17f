package amqp

import (
	"fmt"
	"strconv"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"

	"thymechute/internal/decide/intake"
	"thymechute/internal/node"
)

// Values of the outcome header of a reply.
const (
	replyServed = "fulfilled"
	replyFailed = "scrapped"
)

// Reasons of a dead letter, as its consumers see them.
const (
	reasonFailed      = "failed"
	reasonKeyConflict = "another message stands under the same key"
	reasonMayHaveRun  = "may have run already"
	reasonExpired     = "its patience is over"
)

// handleAnswer handles the instance's answer to a message that was delivered on the session.
func (f *Front) handleAnswer(s *session, id node.MessageID, answer node.Answer) {
	tag, err := strconv.ParseUint(string(id), 10, 64)
	m := f.unsettled[tag]
	if err != nil || f.session != s || m == nil {
		return
	}
	switch answer.Status {
	case node.Served:
		f.counts.completed++
		f.complete(m, answer.Result)
	case node.Rejected:
		f.counts.rejected++
		m.retryAfter = answer.RetryAfter
		f.reject(m)
	case node.Failed:
		f.counts.failed++
		f.deadLetter(m, failureReason(answer.Cause))
	}
}

func failureReason(cause node.Cause) string {
	switch cause {
	case node.CauseKeyConflict:
		return reasonKeyConflict
	case node.CauseMayHaveRun:
		return reasonMayHaveRun
	}
	return reasonFailed
}

// complete settles a processed message. If a reply is requested, that waits until the broker has confirmed the reply.
func (f *Front) complete(m *message, result []byte) {
	if m.delivery.ReplyTo == "" {
		f.settle(m, ack(m.tag))
		return
	}
	m.isReply = true
	f.publishFor(m, "", m.delivery.ReplyTo, amqp.Publishing{
		CorrelationId: m.delivery.CorrelationId,
		Body:          result,
		Headers:       amqp.Table{outcomeHeader: replyServed},
	})
}

// reject requeues or dead-letters a message that the instance rejected.
//
// While the instance drains, the broker may deliver messages to it that it has just requeued. These are set aside until the
// consumers have ended, as they would otherwise be requeued and delivered in a loop.
func (f *Front) reject(m *message) {
	returns := returnCount(&m.delivery)
	switch {
	case m.isExpired():
		f.deadLetter(m, reasonExpired)
	case f.draining && !f.consumersStopped && m.delivery.Headers[drainingHeader] == f.name:
		f.bounced = append(f.bounced, m)
	case f.draining: // another consumer may process it at once, so this return is not counted
		f.requeue(m, returns)
	case returns >= f.config.MaxReturns:
		f.deadLetter(m, fmt.Sprintf("turned back %d times", returns+1))
	default:
		f.requeue(m, returns+1)
	}
}

// requeue publishes a copy to the end of the message's queue, with the number of its returns, and settles the message
// once that is confirmed. A copy is not marked as redelivered, so its consumer knows that it was not processed.
func (f *Front) requeue(m *message, returns int) {
	m.outcome = intake.Requeued
	requeued := requeuedCopy(&m.delivery, returns)
	if f.draining {
		requeued.Headers[drainingHeader] = f.name
	}
	f.publishFor(m, "", m.queue.Name, requeued)
}

// deadLetter publishes a copy to the queue's dead-letter exchange, with the reason, and settles the message once that is
// confirmed. A caller that waits for a reply is notified; that publish needs no confirm.
func (f *Front) deadLetter(m *message, reason string) {
	f.counts.deadLettered++
	if m.delivery.ReplyTo != "" {
		f.publishNumber++
		f.session.submit(publish(f.publishNumber, "", m.delivery.ReplyTo, amqp.Publishing{
			CorrelationId: m.delivery.CorrelationId,
			Headers:       amqp.Table{outcomeHeader: replyFailed, reasonHeader: reason},
		}))
	}
	f.publishFor(m, m.queue.DeadLetterExchange, m.queue.DeadLetterRoutingKey, deadLetterCopy(&m.delivery, reason))
}

// publishFor publishes a message that has to be confirmed before m is settled.
func (f *Front) publishFor(m *message, exchange, key string, publishing amqp.Publishing) {
	f.publishNumber++
	f.unconfirmed[f.publishNumber] = m
	f.controller.RequestSent(f.now())
	f.session.submit(publish(f.publishNumber, exchange, key, publishing))
}

// handleConfirm settles the message for which the confirmed message was published. A reply that was not routed to any queue
// is lost, as its caller is gone. After any other publish that the broker did not accept, the message is returned to its
// queue, which redelivers it.
func (f *Front) handleConfirm(e *event) {
	m := f.unconfirmed[e.publishNumber]
	if m == nil {
		return
	}
	delete(f.unconfirmed, e.publishNumber)
	f.controller.ResponseReceived(f.now())
	switch {
	case e.isAcked && !m.isUnroutable:
		f.settle(m, ack(m.tag))
	case e.isAcked && m.isReply:
		f.counts.repliesLost++
		f.settle(m, ack(m.tag))
	default:
		f.counts.unpublished++
		f.log.Error("amqp: publish not accepted, message returned to its queue",
			zap.Bool("reply", m.isReply),
			zap.Bool("unroutable", m.isUnroutable),
			zap.String("queue", m.queue.Name),
			zap.String("dead_letter_exchange", m.queue.DeadLetterExchange))
		m.outcome = intake.PublishFailed
		f.settle(m, returnToQueue(m.tag))
	}
}

// settle submits the settlement of a message and removes it from the tables.
func (f *Front) settle(m *message, settlement command) {
	delete(f.unsettled, m.tag)
	f.session.submit(settlement)
	f.controller.MessageSettled(f.now(), m.outcome, time.Since(m.receivedAt), m.retryAfter)
	f.closeIfDrained()
}
