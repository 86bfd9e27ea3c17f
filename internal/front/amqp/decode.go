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

// FieldError is the error of a property or header that can't be decoded. Its text becomes the reason of a dead letter.
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

// Decode returns the request in a message that was received at that time. The operator's file names the fields that hold
// its values. idempotency returns the idempotency of a class. The error is a *FieldError.
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

// decodeTexts sets the fields of the request that are texts. Only the class is required.
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

// mayHaveRunElsewhere reports whether an earlier delivery may have been processed by another instance. Without an
// idempotency key that can be ruled out for the first delivery only.
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

// callerTimeout returns the remaining time for which the caller waits; 0 if it is unknown. The time counts from the message's
// origin if that is known, and from the receipt if the origin is in the future, as the clocks of two machines may differ.
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
