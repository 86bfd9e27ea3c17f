package broker

import (
	"fmt"
	"io"
)

// methodCall is a method received on an open channel.
type methodCall struct {
	conn    *conn
	channel *channel
	method  Method
}

// channelMethods are the handlers of the channel methods that the broker implements, except those that open and close channels.
// An error returned by a handler ends the connection.
var channelMethods = map[string]func(methodCall) error{
	"exchange.declare": methodCall.declareExchange,
	"queue.declare":    methodCall.declareQueue,
	"queue.bind":       methodCall.bindQueue,
	"queue.purge":      methodCall.purgeQueue,
	"basic.qos":        methodCall.setPrefetch,
	"basic.consume":    methodCall.consume,
	"basic.cancel":     methodCall.cancel,
	"basic.publish":    methodCall.publish,
	"basic.ack":        methodCall.ack,
	"basic.reject":     methodCall.reject,
	"basic.nack":       methodCall.nack,
	"confirm.select":   methodCall.enableConfirms,
	"channel.flow":     methodCall.ignore,
	"channel.flow-ok":  methodCall.ignore,
	"basic.cancel-ok":  methodCall.ignore,
}

func (c methodCall) broker() *Broker     { return c.conn.broker }
func (c methodCall) text(arg int) string { return c.method.Args[arg].(string) }
func (c methodCall) flag(arg int) bool   { return c.method.Args[arg].(bool) }

// reply sends the method's -ok reply, unless its no-wait argument is set.
func (c methodCall) reply(noWaitArg int, args ...any) {
	if !c.flag(noWaitArg) {
		c.replyAlways(args...)
	}
}

// replyAlways sends the -ok reply of a method that has no no-wait argument.
func (c methodCall) replyAlways(args ...any) {
	c.conn.sendMethod(c.channel.id, c.method.Name+"-ok", args...)
}

// closeWithError closes the channel with a reply code; the connection stays open.
func (c methodCall) closeWithError(code uint16, text string) error {
	c.broker().closeChannelWithError(c.channel, code, text, methodIDs[c.method.Name])
	return nil
}

func (c methodCall) closeWithNotFound(name string) error {
	return c.closeWithError(replyNotFound, "NOT_FOUND - "+name)
}

func (c methodCall) ignore() error { return nil }

func (c methodCall) declareExchange() error {
	const nameArg, kindArg, passiveArg, noWaitArg = 1, 2, 3, 7
	if c.flag(passiveArg) {
		if c.broker().exchanges[c.text(nameArg)] == nil {
			return c.closeWithNotFound("exchange " + c.text(nameArg))
		}
	} else if err := c.broker().declareExchange(c.text(nameArg), c.text(kindArg)); err != nil {
		return c.closeWithError(replyPreconditionFailed, "PRECONDITION_FAILED")
	}
	c.reply(noWaitArg)
	return nil
}

func (c methodCall) declareQueue() error {
	const nameArg, passiveArg, noWaitArg, tableArg = 1, 2, 6, 7
	if c.broker().queues[c.text(nameArg)] == nil && c.flag(passiveArg) {
		return c.closeWithNotFound("queue " + c.text(nameArg))
	}
	if err := c.broker().declareQueue(c.text(nameArg), c.method.Args[tableArg].(Table)); err != nil {
		return c.closeWithError(replyPreconditionFailed, "PRECONDITION_FAILED")
	}
	q := c.broker().queues[c.text(nameArg)]
	c.reply(noWaitArg, q.name, uint32(q.readyCount()), uint32(len(q.consumers)))
	return nil
}

func (c methodCall) bindQueue() error {
	const queueArg, exchangeArg, keyArg, noWaitArg = 1, 2, 3, 4
	if err := c.broker().bind(c.text(queueArg), c.text(exchangeArg), c.text(keyArg)); err != nil {
		return c.closeWithNotFound(c.text(queueArg))
	}
	c.reply(noWaitArg)
	return nil
}

func (c methodCall) purgeQueue() error {
	const queueArg, noWaitArg = 1, 2
	q := c.broker().queues[c.text(queueArg)]
	if q == nil {
		return c.closeWithNotFound(c.text(queueArg))
	}
	count := q.purge()
	c.broker().messageCount -= count
	c.reply(noWaitArg, uint32(count))
	return nil
}

func (c methodCall) setPrefetch() error {
	const countArg, globalArg = 1, 2
	c.channel.prefetch = int(c.method.Args[countArg].(uint16))
	if c.flag(globalArg) { // RabbitMQ's quorum queues do not support it either
		return errNotImplemented
	}
	c.replyAlways()
	return nil
}

func (c methodCall) consume() error {
	const queueArg, tagArg, noAckArg, noWaitArg = 1, 2, 4, 6
	ch, q := c.channel, c.broker().queues[c.text(queueArg)]
	if q == nil {
		return c.closeWithNotFound("queue " + c.text(queueArg))
	}
	switch c.broker().nextFault(AtConsume) {
	case ChannelError:
		return c.closeWithError(replyAccessRefused, "ACCESS_REFUSED - scripted")
	case Cut:
		return io.EOF
	}
	tag := c.text(tagArg)
	if tag == "" {
		tag = fmt.Sprintf("stand-in-%d-%d", c.conn.number, len(ch.consumers))
	}
	if ch.consumers[tag] != nil {
		return errTagInUse
	}
	added := &consumer{tag: tag, channel: ch, queue: q, prefetch: ch.prefetch, noAck: c.flag(noAckArg)}
	ch.consumers[tag] = added
	q.consumers = append(q.consumers, added)
	c.broker().emitQueue(EventConsumed, c.conn, q)
	c.reply(noWaitArg, tag)
	return nil
}

func (c methodCall) cancel() error {
	const tagArg, noWaitArg = 0, 1
	if c.broker().nextFault(AtCancel) == Ignore {
		return nil
	}
	if cancelled := c.channel.consumers[c.text(tagArg)]; cancelled != nil {
		c.broker().removeConsumer(cancelled)
		c.broker().emitQueue(EventCancelled, c.conn, cancelled.queue)
	}
	c.reply(noWaitArg, c.text(tagArg))
	return nil
}

// publish prepares the channel for a message; its content follows in separate frames.
func (c methodCall) publish() error {
	const exchangeArg, keyArg, mandatoryArg = 1, 2, 3
	if c.broker().exchanges[c.text(exchangeArg)] == nil {
		return c.closeWithNotFound("exchange " + c.text(exchangeArg))
	}
	c.channel.incoming = &incomingMessage{exchange: c.text(exchangeArg), key: c.text(keyArg), mandatory: c.flag(mandatoryArg)}
	return nil
}

func (c methodCall) enableConfirms() error {
	const noWaitArg = 0
	c.channel.confirmMode = true
	c.reply(noWaitArg)
	return nil
}

func (c methodCall) ack() error {
	const multipleArg = 1
	c.settle(c.tags(multipleArg), EventAcked)
	return nil
}

func (c methodCall) reject() error {
	const requeueArg = 1
	c.settle(c.tags(noMultiple), c.rejection(requeueArg))
	return nil
}

func (c methodCall) nack() error {
	const multipleArg, requeueArg = 1, 2
	c.settle(c.tags(multipleArg), c.rejection(requeueArg))
	return nil
}

// noMultiple is passed to tags for a method without a multiple argument.
const noMultiple = -1

// tags returns the delivery tags that the method settles.
func (c methodCall) tags(multipleArg int) tagRange {
	const tagArg = 0
	return tagRange{tag: c.method.Args[tagArg].(uint64), multiple: multipleArg != noMultiple && c.flag(multipleArg)}
}

// rejection returns the outcome of a reject or nack, which depends on its requeue argument.
func (c methodCall) rejection(requeueArg int) EventKind {
	if c.flag(requeueArg) {
		return EventRequeued
	}
	return EventRejected
}

// settle settles deliveries. Like RabbitMQ, it closes the channel when a tag has no unacked delivery on it.
func (c methodCall) settle(tags tagRange, outcome EventKind) {
	b := c.broker()
	if b.settle(c.channel, tags, outcome) {
		return
	}
	b.emit(EventUnknownTag, c.conn)
	b.closeChannelWithError(c.channel, replyPreconditionFailed, fmt.Sprintf("PRECONDITION_FAILED - unknown delivery tag %d", tags.tag), methodIDs["basic.ack"])
}
