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

// Values of the reason header of dead letters and error replies.
const (
	reasonFailed      = "failed"
	reasonKeyConflict = "another message stands under the same key"
	reasonMayHaveRun  = "may have run already"
	reasonExpired     = "its patience is over"
)

// handleAnswer handles the instance's answer to a message. id is the decimal delivery tag on the session.
func (f *Front) handleAnswer(s *session, id node.MessageID, answer node.Answer) {
	tag, err := strconv.ParseUint(string(id), 10, 64)
	m := f.unsettled[tag]
	if err != nil || f.session != s || m == nil {
		return
	}
	switch answer.Status {
	case node.Served:
		f.counts.completed++
		f.replyAndAck(m, answer.Result)
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

// replyAndAck acks a served message. If its sender wants a reply, the ack waits until the broker has confirmed the reply.
func (f *Front) replyAndAck(m *message, result []byte) {
	if m.delivery.ReplyTo == "" {
		m.hasEnded = true
		f.settle(m, ack(m.tag))
		return
	}
	reply := replyTo(&m.delivery, amqp.Publishing{Body: result, Headers: amqp.Table{outcomeHeader: replyServed}})
	f.publishAnswer(m, finalAnswer{publications: []publication{reply}, isReply: true})
}

// replyTo returns the publication of a reply to the sender of a message.
func replyTo(d *amqp.Delivery, reply amqp.Publishing) publication {
	reply.CorrelationId = d.CorrelationId
	return publication{key: d.ReplyTo, publishing: reply}
}

// reject requeues or dead-letters a message that the instance rejected.
//
// While the instance drains, the broker may deliver messages to it that it has just requeued. These are held in loopedBack until
// the consumers have ended, because they would otherwise be requeued and delivered in a loop.
func (f *Front) reject(m *message) {
	requeues := requeueCount(&m.delivery)
	switch {
	case m.isExpired():
		f.deadLetter(m, reasonExpired)
	case f.draining && !f.consumersStopped && m.delivery.Headers[drainingInstanceHeader] == f.name:
		f.loopedBack = append(f.loopedBack, m)
	case f.draining: // not counted, because another consumer may process the copy at once
		f.requeue(m, requeues)
	case requeues >= f.config.MaxReturns:
		f.deadLetter(m, fmt.Sprintf("turned back %d times", requeues+1))
	default:
		f.requeue(m, requeues+1)
	}
}

// requeue publishes a copy with the requeue count to the end of the message's queue, and settles the message once the copy is
// confirmed. A copy is not marked as redelivered, so its consumer knows that the message was not processed. Its id tells it from
// its original, of which the queue has both if the connection is lost before the settlement.
func (f *Front) requeue(m *message, requeues int) {
	m.outcome = intake.Requeued
	requeued := requeuedCopy(&m.delivery, requeues)
	if f.draining {
		requeued.Headers[drainingInstanceHeader] = f.name
	}
	m.hasEnded = true
	m.copyID = f.newCopyID()
	requeued.Headers[copyIDHeader] = m.copyID
	f.recordEnding(m, false) // the copy may arrive before its confirm
	f.publishBeforeSettling(m, publication{key: m.queue.Name, publishing: requeued})
}

// deadLetter publishes a copy with the reason to the queue's configured dead-letter exchange, and settles the message once the
// copy is confirmed. If a reply is requested, it publishes an error reply first, without waiting for its confirm.
func (f *Front) deadLetter(m *message, reason string) {
	f.counts.deadLettered++
	var answer finalAnswer
	if m.delivery.ReplyTo != "" {
		headers := amqp.Table{outcomeHeader: replyFailed, reasonHeader: reason}
		answer.publications = append(answer.publications, replyTo(&m.delivery, amqp.Publishing{Headers: headers}))
	}
	answer.publications = append(answer.publications, publication{
		exchange:   m.queue.DeadLetterExchange,
		key:        m.queue.DeadLetterRoutingKey,
		publishing: deadLetterCopy(&m.delivery, reason),
	})
	f.publishAnswer(m, answer)
}

// handleConfirm settles the message for which the confirmed publish was made. A reply that was routed to no queue is lost, as
// its caller is gone. After any other publish that failed or was routed to no queue, the message is returned to its queue, which
// redelivers it. Its ending is remembered, because a publish that was lost with its channel may have been taken.
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
	case e.isAcked && m.answer.isReply:
		f.counts.repliesLost++
		f.settle(m, ack(m.tag))
	default:
		f.counts.unpublished++
		f.log.Error("amqp: publish not accepted, message returned to its queue",
			zap.Bool("reply", m.answer.isReply),
			zap.Bool("unroutable", m.isUnroutable),
			zap.String("queue", m.queue.Name),
			zap.String("dead_letter_exchange", m.queue.DeadLetterExchange))
		m.outcome = intake.PublishFailed
		f.recordEnding(m, false)
		m.hasEnded = false
		f.settle(m, nackAndRequeue(m.tag))
	}
}

// settle submits the settlement of a message and removes it from the unsettled messages. The settlement may be lost with the
// connection, so the ending is remembered.
func (f *Front) settle(m *message, settlement command) {
	f.recordEnding(m, true)
	delete(f.unsettled, m.tag)
	f.session.submit(settlement)
	f.controller.MessageSettled(f.now(), m.outcome, time.Since(m.receivedAt), m.retryAfter)
	f.closeIfDrained()
}
