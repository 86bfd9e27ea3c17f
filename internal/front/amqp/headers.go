package amqp

import (
	"maps"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Headers of the messages that are published.
const (
	drainingHeader      = "x-thymechute-leaving" // the instance that requeued the message while it drained
	returnsHeader       = "x-thymechute-returns" // how often the message was requeued
	reasonHeader        = "x-thymechute-reason"  // why a message was dead-lettered
	publishNumberHeader = "x-thymechute-publish" // number by which a returned publish is identified
	outcomeHeader       = "x-thymechute-outcome" // of a reply
	userIDHeader        = "x-thymechute-user-id" // of a copy: brokers accept a user-id from its own user only
)

const maxReturnCount = 1e6 // a larger number in a header counts as 0

// returnCount returns how often a message was requeued so far.
func returnCount(d *amqp.Delivery) int {
	count, _, err := numberField(d, headerFieldPrefix+returnsHeader)
	if err != nil || count < 0 || count > maxReturnCount {
		return 0
	}
	return int(count)
}

// requeuedCopy returns the message with the number of its returns, not marked as requeued by a draining instance.
func requeuedCopy(d *amqp.Delivery, returns int) amqp.Publishing {
	requeued := copyOf(d)
	requeued.Headers[returnsHeader] = int64(returns)
	delete(requeued.Headers, drainingHeader)
	return requeued
}

// deadLetterCopy returns the message with the reason for which it is dead-lettered. It has no expiration, so that the dead
// letter does not expire.
func deadLetterCopy(d *amqp.Delivery, reason string) amqp.Publishing {
	letter := copyOf(d)
	letter.Headers[reasonHeader] = reason
	letter.Expiration = ""
	return letter
}

// copyOf returns a message as it was received, to be published again.
func copyOf(d *amqp.Delivery) amqp.Publishing {
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
