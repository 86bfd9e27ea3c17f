// What a message says: this file turns its properties and headers into a work item, by the operator's fields. It is
// strict about types and bounds, and must never take a clock from a message for more than its patience.

package amqp

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"thymechute/internal/node"
	"thymechute/internal/operator"
	"thymechute/policy/settings"
)

const (
	longestWord  = 128
	longestSpan  = 24 * time.Hour // of a patience; more is as good as none told
	leavingField = "x-thymechute-leaving"
	returnsField = "x-thymechute-returns"
	reasonField  = "x-thymechute-reason"
	numberField  = "x-thymechute-publish"
	endField     = "x-thymechute-outcome"
	userField    = "x-thymechute-user-id" // of a copy: brokers take a user-id from its own user only
)

// Decode makes a work item of a message that was read just now. kind tells that of a class: safe, keyed, or any
// other for unsafe. An error says what can't be read.
func Decode(d *amqp.Delivery, f *operator.FieldMapping, q *operator.Queue, now time.Time, kind func(class string) settings.Idempotency) (ask node.Request, err error) {
	ask = node.Request{ReceivedAt: now, Body: d.Body, MemoryKB: max(float64(len(d.Body))/1024, 0.1)}
	for _, w := range []struct {
		into  *string
		field string
	}{{&ask.Class, f.Class}, {&ask.Tenant, f.Tenant}, {&ask.Key, f.IdempotencyKey}, {&ask.Subject, f.Subject}} {
		if *w.into, err = word(d, w.field); err != nil {
			return ask, err
		}
	}
	if ask.Class == "" {
		return ask, fmt.Errorf("%s: found nothing, expected a band", f.Class)
	}
	switch kind := kind(ask.Class); {
	case kind == settings.Idempotent && ask.Key == "":
		return ask, fmt.Errorf("%s: found nothing, expected a key, as band %s must not run twice", f.IdempotencyKey, ask.Class)
	case kind == settings.Idempotent:
		ask.MayHaveRunElsewhere = d.Redelivered && q.OnRedelivery != "run"
	case kind != settings.Safe: // no key tells a repeat, so nothing but the first delivery proves that it did not run
		ask.MayHaveRunElsewhere = d.Redelivered
	}
	ask.Priority, _, err = number(d, f.Priority)
	if err != nil || ask.Priority < 0 || ask.Priority >= 1 || math.IsNaN(ask.Priority) {
		return ask, fmt.Errorf("%s: expected a number from 0 to under 1", f.Priority)
	}
	ask.CallerTimeout, err = patience(d, f, now)
	return ask, err
}

// patience is what is left of it: it counts from the message's origin, where that is told and not in the future, as a
// clock elsewhere may be wrong.
func patience(d *amqp.Delivery, f *operator.FieldMapping, now time.Time) (time.Duration, error) {
	span, ok, err := number(d, f.CallerTimeout)
	if err != nil || span < 0 || math.IsNaN(span) {
		return 0, fmt.Errorf("%s: expected milliseconds", f.CallerTimeout)
	}
	if !ok || span > float64(longestSpan/time.Millisecond) {
		return 0, nil
	}
	left := time.Duration(span * float64(time.Millisecond))
	origin, ok, err := moment(d, f.Origin)
	if err != nil {
		return 0, err
	}
	if ok && origin.Before(now) {
		left -= min(now.Sub(origin), longestSpan)
	}
	return max(left, 1), nil
}

// raw is what a field holds; nil: nothing.
func raw(d *amqp.Delivery, field string) any {
	if name, ok := strings.CutPrefix(field, "header:"); ok {
		return d.Headers[name]
	}
	var text string
	switch field {
	case "type":
		text = d.Type
	case "message-id":
		text = d.MessageId
	case "correlation-id":
		text = d.CorrelationId
	case "user-id":
		if text = d.UserId; text == "" {
			text, _ = d.Headers[userField].(string)
		}
	case "app-id":
		text = d.AppId
	case "expiration":
		text = d.Expiration
	case "timestamp":
		if !d.Timestamp.IsZero() {
			return d.Timestamp
		}
	case "priority":
		return float64(min(d.Priority, 9)) / 10
	}
	if text == "" {
		return nil
	}
	return text
}

func word(d *amqp.Delivery, field string) (string, error) {
	switch v := raw(d, field).(type) {
	case nil:
		return "", nil
	case string:
		if len(v) <= longestWord && !strings.ContainsAny(v, "\x00\r\n") {
			return v, nil
		}
	}
	return "", fmt.Errorf("%s: expected a text of at most %d bytes in one line", field, longestWord)
}

func number(d *amqp.Delivery, field string) (x float64, ok bool, err error) {
	switch v := raw(d, field).(type) {
	case nil:
		return 0, false, nil
	case string:
		if x, err = strconv.ParseFloat(v, 64); err != nil || len(v) > 30 {
			return 0, false, fmt.Errorf("%s: found %.30q", field, v)
		}
	case float64:
		x = v
	case float32:
		x = float64(v)
	case int64:
		x = float64(v)
	case int32:
		x = float64(v)
	case int16:
		x = float64(v)
	case int8:
		x = float64(v)
	case byte:
		x = float64(v)
	default:
		return 0, false, fmt.Errorf("%s: found %T", field, v)
	}
	return x, true, nil
}

// moment is a time, or Unix milliseconds.
func moment(d *amqp.Delivery, field string) (time.Time, bool, error) {
	if at, ok := raw(d, field).(time.Time); ok {
		return at, true, nil
	}
	x, ok, err := number(d, field)
	if err != nil || x < 0 || x > 1e14 {
		return time.Time{}, false, fmt.Errorf("%s: expected a time", field)
	}
	return time.UnixMilli(int64(x)), ok, nil
}

// returned is how often a message was turned back so far.
func returned(d *amqp.Delivery) int {
	x, _, err := number(d, "header:"+returnsField)
	if err != nil || x < 0 || x > 1e6 {
		return 0
	}
	return int(x)
}

// publishing is a message as it came, with a header more.
func publishing(d *amqp.Delivery, header string, value any) amqp.Publishing {
	p := amqp.Publishing{ContentType: d.ContentType, ContentEncoding: d.ContentEncoding, DeliveryMode: d.DeliveryMode,
		Priority: d.Priority, CorrelationId: d.CorrelationId, ReplyTo: d.ReplyTo, MessageId: d.MessageId,
		Timestamp: d.Timestamp, Type: d.Type, AppId: d.AppId, Body: d.Body, Headers: amqp.Table{}}
	for name, v := range d.Headers {
		p.Headers[name] = v
	}
	if p.Headers[header] = value; d.UserId != "" {
		p.Headers[userField] = d.UserId
	}
	if header != reasonField { // a dead letter must not run out of time once more
		p.Expiration = d.Expiration
	}
	return p
}
