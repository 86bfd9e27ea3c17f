package amqp

import (
	"math"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"thymechute/internal/node"
	"thymechute/internal/operator"
	"thymechute/policy/settings"
)

const (
	maxCallerTimeout = 24 * time.Hour // a longer timeout counts as unknown
	minMemoryKB      = 0.1
	bytesPerKB       = 1024

	onRedeliveryRun = "run" // value of operator.Queue.OnRedelivery: redelivered idempotent messages may be processed again
)

// FieldError is the error for a property or header that can't be decoded. Its text is part of the dead letter's reason.
type FieldError struct {
	Field    string // name as in operator.FieldMapping
	Found    string // description of the value; may be empty
	Expected string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Found == "" {
		return e.Field + ": expected " + e.Expected
	}
	return e.Field + ": found " + e.Found + ", expected " + e.Expected
}

// Decode returns the request in a message that was received at receivedAt. fields names the properties and headers that hold
// the request's values, and idempotency returns the idempotency of a class. An error is a *FieldError.
func Decode(d *amqp.Delivery, fields *operator.FieldMapping, queue *operator.Queue, receivedAt time.Time,
	idempotency func(class string) settings.Idempotency) (node.Request, error) {
	request := node.Request{
		ReceivedAt: receivedAt,
		Body:       d.Body,
		MemoryKB:   max(float64(len(d.Body))/bytesPerKB, minMemoryKB),
	}
	if err := decodeTexts(d, fields, &request); err != nil {
		return request, err
	}
	var err error
	request.MayHaveRunElsewhere, err = mayHaveRunElsewhere(d, fields, queue, &request, idempotency(request.Class))
	if err != nil {
		return request, err
	}
	request.Priority, err = priority(d, fields.Priority)
	if err != nil {
		return request, err
	}
	request.CallerTimeout, err = callerTimeout(d, fields, receivedAt)
	return request, err
}

// decodeTexts sets the string fields of the request. Only the class is required.
func decodeTexts(d *amqp.Delivery, fields *operator.FieldMapping, request *node.Request) error {
	for _, text := range []struct {
		target *string
		field  string
	}{
		{&request.Class, fields.Class},
		{&request.Tenant, fields.Tenant},
		{&request.Key, fields.IdempotencyKey},
		{&request.Subject, fields.Subject},
	} {
		value, err := textField(d, text.field)
		if err != nil {
			return err
		}
		*text.target = value
	}
	if request.Class == "" {
		return &FieldError{Field: fields.Class, Found: "nothing", Expected: "a band"}
	}
	return nil
}

// mayHaveRunElsewhere reports whether the message must be treated as possibly processed by another instance. That is false for a
// first delivery, for a safe class, and for an idempotent class if the queue is set to run redelivered messages. An idempotent
// class without a key is an error.
func mayHaveRunElsewhere(d *amqp.Delivery, fields *operator.FieldMapping, queue *operator.Queue, request *node.Request,
	idempotency settings.Idempotency) (bool, error) {
	switch idempotency {
	case settings.Safe:
		return false, nil
	case settings.Idempotent:
		if request.Key == "" {
			return false, &FieldError{
				Field:    fields.IdempotencyKey,
				Found:    "nothing",
				Expected: "a key, as band " + request.Class + " must not run twice",
			}
		}
		return d.Redelivered && queue.OnRedelivery != onRedeliveryRun, nil
	}
	return d.Redelivered, nil
}

// priority returns the number in the field, 0 if there is none.
func priority(d *amqp.Delivery, field string) (float64, error) {
	value, _, err := numberField(d, field)
	if err != nil || value < 0 || value >= 1 || math.IsNaN(value) {
		return value, &FieldError{Field: field, Expected: "a number from 0 to under 1"}
	}
	return value, nil
}

// callerTimeout returns how much longer the caller waits, 0 if that is unknown. The timeout counts from the origin time in the
// message. It counts from receivedAt if the origin is unknown, or in the future because clocks of machines differ.
func callerTimeout(d *amqp.Delivery, fields *operator.FieldMapping, receivedAt time.Time) (time.Duration, error) {
	milliseconds, ok, err := numberField(d, fields.CallerTimeout)
	if err != nil || milliseconds < 0 || math.IsNaN(milliseconds) {
		return 0, &FieldError{Field: fields.CallerTimeout, Expected: "milliseconds"}
	}
	if !ok || milliseconds > float64(maxCallerTimeout/time.Millisecond) {
		return 0, nil
	}
	left := time.Duration(milliseconds * float64(time.Millisecond))
	origin, ok, err := timeField(d, fields.Origin)
	if err != nil {
		return 0, err
	}
	if ok && origin.Before(receivedAt) {
		left -= min(receivedAt.Sub(origin), maxCallerTimeout)
	}
	return max(left, 1), nil
}
