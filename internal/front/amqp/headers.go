package amqp

import (
	"maps"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Headers of published messages.
const (
	drainingInstanceHeader = "x-thymechute-leaving" // of a requeued copy: name of the draining instance that requeued it
	requeueCountHeader     = "x-thymechute-returns" // of a requeued copy: how often the message was requeued
	copyIDHeader           = "x-thymechute-copy"    // of a requeued copy: identifies it
	reasonHeader           = "x-thymechute-reason"  // of a dead letter or an error reply: why the message was dead-lettered
	publishNumberHeader    = "x-thymechute-publish" // publish number, which identifies a publish that the broker returns
	outcomeHeader          = "x-thymechute-outcome" // of a reply: replyServed or replyFailed
	userIDHeader           = "x-thymechute-user-id" // of a copy: original user-id; brokers accept that property from its own user only
)

const maxRequeueCount = 1e6 // a larger count in a header is treated as 0

// requeueCount returns how often a message was requeued so far, by its header. An invalid header counts as 0.
func requeueCount(d *amqp.Delivery) int {
	count, _, err := numberField(d, headerFieldPrefix+requeueCountHeader)
	if err != nil || count < 0 || count > maxRequeueCount {
		return 0
	}
	return int(count)
}

// requeuedCopy returns a copy of the message with the requeue count, and without the name of a draining instance and the id of an
// earlier copy.
func requeuedCopy(d *amqp.Delivery, requeues int) amqp.Publishing {
	requeued := copyDelivery(d)
	requeued.Headers[requeueCountHeader] = int64(requeues)
	delete(requeued.Headers, drainingInstanceHeader)
	delete(requeued.Headers, copyIDHeader)
	return requeued
}

// deadLetterCopy returns a copy of the message with the reason why it is dead-lettered. The copy has no expiration, so that it
// does not expire in the dead-letter queue.
func deadLetterCopy(d *amqp.Delivery, reason string) amqp.Publishing {
	letter := copyDelivery(d)
	letter.Headers[reasonHeader] = reason
	letter.Expiration = ""
	delete(letter.Headers, copyIDHeader) // an operator who publishes the letter again publishes a new message
	return letter
}

// copyDelivery returns a received message as one to be published.
func copyDelivery(d *amqp.Delivery) amqp.Publishing {
	headers := amqp.Table{}
	maps.Copy(headers, d.Headers)
	if d.UserId != "" {
		headers[userIDHeader] = d.UserId
	}
	return amqp.Publishing{
		ContentType:     d.ContentType,
		ContentEncoding: d.ContentEncoding,
		DeliveryMode:    d.DeliveryMode,
		Priority:        d.Priority,
		CorrelationId:   d.CorrelationId,
		ReplyTo:         d.ReplyTo,
		Expiration:      d.Expiration,
		MessageId:       d.MessageId,
		Timestamp:       d.Timestamp,
		Type:            d.Type,
		AppId:           d.AppId,
		Body:            d.Body,
		Headers:         headers,
	}
}
