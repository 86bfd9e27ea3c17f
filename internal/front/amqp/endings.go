package amqp

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"strconv"

	amqp "github.com/rabbitmq/amqp091-go"
	"go.uber.org/zap"

	"thymechute/internal/decide/redelivery"
)

const (
	// Bounds of the remembered endings. The number is in addition to maxUnsettled, which is how many settlements can be lost with
	// a connection whose broker keeps to the credit.
	extraEndings   = 512
	maxEndingBytes = 1 << 20
)

// publication is a message to be published.
type publication struct {
	exchange   string
	key        string
	publishing amqp.Publishing
}

// finalAnswer is what is published for a message that has ended. The message is settled once the broker has confirmed the last
// publication; it reads the others before that one.
type finalAnswer struct {
	publications []publication
	isReply      bool // the last publication is the reply to the caller, not a dead letter
}

func (a *finalAnswer) size() (bytes int) {
	for _, p := range a.publications {
		bytes += len(p.publishing.Body)
	}
	return bytes
}

// endingTable remembers how messages ended whose settlement may be lost.
type endingTable = redelivery.Table[finalAnswer]

func newEndingTable(maxUnsettled int) *endingTable {
	return redelivery.NewTable[finalAnswer](maxUnsettled+extraEndings, maxEndingBytes)
}

// newCopyID returns an id for a requeued copy that no other instance and no other process of this one uses.
func (f *Front) newCopyID() string {
	return f.name + "/" + f.requestPrefix + strconv.FormatUint(f.publishNumber, 10)
}

// identify sets the identity of a message. A message without an idempotency key, correlation id and copy id has none, as its
// sender may have published others that are equal to it.
func (f *Front) identify(m *message) {
	d := &m.delivery
	fields := f.config.Fields
	class, _ := textField(d, fields.Class)
	tenant, _ := textField(d, fields.Tenant)
	key, _ := textField(d, fields.IdempotencyKey)
	copyID, _ := d.Headers[copyIDHeader].(string)
	if key == "" && d.CorrelationId == "" && copyID == "" {
		return
	}
	digest := sha256.New()
	var prefix [8]byte
	sentAt := strconv.FormatInt(d.Timestamp.Unix(), 10)
	for _, field := range []string{m.queue.Name, class, tenant, key, copyID, d.CorrelationId, d.ReplyTo, sentAt} {
		binary.BigEndian.PutUint64(prefix[:], uint64(len(field)))
		digest.Write(prefix[:])
		digest.Write([]byte(field))
	}
	digest.Write(d.Body)
	m.hasIdentity = true
	digest.Sum(m.identity[:0])
}

// settleIfEnded handles a message that has ended here before, or for which another one stands. It reports whether the message
// needs no further processing.
func (f *Front) settleIfEnded(m *message) bool {
	if !m.hasIdentity {
		return false
	}
	copyID, _ := m.delivery.Headers[copyIDHeader].(string)
	action := redelivery.Process
	var answer finalAnswer
	if m.delivery.Redelivered {
		action, answer = f.endings.Redelivered(m.identity)
	} else {
		f.endings.Forget(m.identity)
	}
	if action == redelivery.Process && copyID != "" {
		action = f.endings.CopyArrived(copyID)
	}
	switch action {
	case redelivery.Settle:
		f.settle(m, ack(m.tag))
	case redelivery.Republish:
		f.publishAnswer(m, answer)
	default:
		return false
	}
	f.counts.alreadyEnded++
	f.log.Info("amqp: message has ended before, settled without another run",
		zap.String("queue", m.queue.Name), zap.String("key", m.delivery.MessageId), zap.String("copy", copyID))
	return true
}

// recordEnding remembers how the message ended, if it did: nothing is remembered of one for which nothing was published.
func (f *Front) recordEnding(m *message, isConfirmed bool) {
	if !m.hasIdentity || !m.hasEnded {
		return
	}
	f.endings.Record(m.identity, redelivery.Ending[finalAnswer]{
		Copy:      m.copyID,
		Confirmed: isConfirmed,
		Answer:    m.answer,
		Size:      m.answer.size(),
	})
}

// publishAnswer publishes the final answer to a message and settles it once the broker has confirmed that.
func (f *Front) publishAnswer(m *message, answer finalAnswer) {
	m.hasEnded = true
	m.answer = answer
	last := len(answer.publications) - 1
	for _, p := range answer.publications[:last] {
		f.submitPublication(p)
	}
	f.publishBeforeSettling(m, answer.publications[last])
}

// publishBeforeSettling publishes a message that the broker has to confirm before m is settled.
func (f *Front) publishBeforeSettling(m *message, p publication) {
	f.submitPublication(p)
	f.unconfirmed[f.publishNumber] = m
	f.controller.RequestSent(f.now())
}

// submitPublication submits a publish under the next publish number. It copies the headers, which the session changes, because
// an answer may be published again on another session.
func (f *Front) submitPublication(p publication) {
	f.publishNumber++
	p.publishing.Headers = maps.Clone(p.publishing.Headers)
	f.session.submit(publish(f.publishNumber, p.exchange, p.key, p.publishing))
}
