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
	maxCallerTimeout = 24 * time.Hour // a longer one counts as none
	minMemoryKB      = 0.1
	bytesPerKB       = 1024

	redeliveredRun = "run" // the setting of a queue whose redelivered messages may be processed
)

// FieldError reports a property or header that can't be decoded. Its text becomes the reason of a dead letter.
type FieldError struct {
	Field    string // as the operator's file names it
	Found    string // empty if the value is not shown
	Expected string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Found == "" {
		return e.Field + ": expected " + e.Expected
	}
	return e.Field + ": found " + e.Found + ", expected " + e.Expected
}

// Decode makes a request of a message that was received at a time, with the fields of the operator's file. idempotency
// returns that of a class. Errors are *FieldError.
func Decode(d *amqp.Delivery, fields *operator.FieldMapping, queue *operator.Queue, receivedAt time.Time,
	idempotency func(class string) settings.Idempotency) (node.Request, error) {
	request := node.Request{ReceivedAt: receivedAt, Body: d.Body, MemoryKB: max(float64(len(d.Body))/bytesPerKB, minMemoryKB)}
	for _, text := range []struct {
		target *string
		field  string
	}{{&request.Class, fields.Class}, {&request.Tenant, fields.Tenant}, {&request.Key, fields.IdempotencyKey}, {&request.Subject, fields.Subject}} {
		var err error
		if *text.target, err = textField(d, text.field); err != nil {
			return request, err
		}
	}
	if request.Class == "" {
		return request, &FieldError{Field: fields.Class, Found: "nothing", Expected: "a band"}
	}
	var err error
	if request.MayHaveRunElsewhere, err = mayHaveRunElsewhere(d, fields, queue, &request, idempotency(request.Class)); err != nil {
		return request, err
	}
	if request.Priority, err = priority(d, fields.Priority); err != nil {
		return request, err
	}
	request.CallerTimeout, err = callerTimeout(d, fields, receivedAt)
	return request, err
}

// mayHaveRunElsewhere reports whether an earlier delivery may have been processed by another instance. Without an
// idempotency key only the first delivery proves that it was not.
func mayHaveRunElsewhere(d *amqp.Delivery, fields *operator.FieldMapping, queue *operator.Queue, request *node.Request,
	idempotency settings.Idempotency) (bool, error) {
	switch idempotency {
	case settings.Safe:
		return false, nil
	case settings.Idempotent:
		if request.Key == "" {
			return false, &FieldError{Field: fields.IdempotencyKey, Found: "nothing", Expected: "a key, as band " + request.Class + " must not run twice"}
		}
		return d.Redelivered && queue.OnRedelivery != redeliveredRun, nil
	}
	return d.Redelivered, nil
}

// priority returns the number in a field, 0 if there is none.
func priority(d *amqp.Delivery, field string) (float64, error) {
	value, _, err := numberField(d, field)
	if err != nil || value < 0 || value >= 1 || math.IsNaN(value) {
		return value, &FieldError{Field: field, Expected: "a number from 0 to under 1"}
	}
	return value, nil
}

// callerTimeout returns what is left of the time that the caller waits; 0 if it is unknown. It counts from the message's
// origin if that is known and not in the future, as another machine's clock may be wrong.
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
