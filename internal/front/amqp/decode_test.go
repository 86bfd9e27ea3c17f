package amqp

import (
	"math"
	"strings"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"thymechute/internal/operator"
	"thymechute/policy/settings"
)

var usualFields = &operator.FieldMapping{Class: "type", Tenant: "header:customer", IdempotencyKey: "message-id", Subject: "header:subject",
	Priority: "header:rank", Origin: "timestamp", CallerTimeout: "expiration"}

func idempotencyOf(class string) settings.Idempotency {
	return map[string]settings.Idempotency{"trace": settings.Safe, "excursion": settings.Idempotent, "seal": settings.NonIdempotent}[class]
}

func TestDecodeFields(t *testing.T) {
	now := time.Unix(1700000000, 0)
	d := &amqp.Delivery{Type: "excursion", MessageId: "k", Expiration: "5000", Timestamp: now.Add(-2 * time.Second), Body: []byte("body"),
		Headers: amqp.Table{"customer": "acme", "subject": "s1", "rank": float32(0.5)}}
	request, err := Decode(d, usualFields, &operator.Queue{}, now, idempotencyOf)
	if err != nil || request.Class != "excursion" || request.Key != "k" || request.Tenant != "acme" || request.Subject != "s1" ||
		request.Priority != 0.5 || request.CallerTimeout != 3*time.Second || string(request.Body) != "body" || !request.ReceivedAt.Equal(now) || request.MayHaveRunElsewhere {
		t.Errorf("%+v, %v", request, err)
	}
	other := &operator.FieldMapping{Class: "header:b", Tenant: "user-id", IdempotencyKey: "correlation-id", Subject: "app-id", Priority: "priority",
		Origin: "header:at", CallerTimeout: "header:ms"}
	d = &amqp.Delivery{UserId: "acme", CorrelationId: "k", AppId: "s1", Priority: 200,
		Headers: amqp.Table{"b": "trace", "at": now.UnixMilli() - 500, "ms": int32(1500)}}
	request, err = Decode(d, other, &operator.Queue{}, now, idempotencyOf)
	if err != nil || request.Class != "trace" || request.Tenant != "acme" || request.Key != "k" || request.Subject != "s1" || request.Priority != 0.9 || request.CallerTimeout != time.Second {
		t.Errorf("%+v, %v", request, err)
	}
}

// Another machine's clock may be wrong: it shortens the caller timeout, never lengthens it, and never makes it none.
func TestCallerTimeoutByAnotherClock(t *testing.T) {
	now := time.Unix(1700000000, 0)
	for _, c := range []struct {
		origin time.Time
		want   time.Duration
	}{{time.Time{}, time.Second}, {now, time.Second}, {now.Add(time.Hour), time.Second}, {now.Add(-400 * time.Millisecond), 600 * time.Millisecond},
		{now.Add(-time.Hour), 1}, {time.Unix(-1<<60, 0), 1}} {
		request, err := Decode(&amqp.Delivery{Type: "trace", Expiration: "1000", Timestamp: c.origin}, usualFields, &operator.Queue{}, now, idempotencyOf)
		if err != nil || request.CallerTimeout != c.want {
			t.Errorf("from %v: %v, want %v (%v)", c.origin, request.CallerTimeout, c.want, err)
		}
	}
	if request, err := Decode(&amqp.Delivery{Type: "trace"}, usualFields, &operator.Queue{}, now, idempotencyOf); err != nil || request.CallerTimeout != 0 {
		t.Errorf("%v, though there is none", request.CallerTimeout)
	}
}

// Only a first delivery proves that a message which must not run twice has not run, unless the queue proves more.
func TestRedeliveredMayHaveRunElsewhere(t *testing.T) {
	for _, c := range []struct {
		band, setting string
		want          bool
	}{{"trace", "dead-letter", false}, {"excursion", "dead-letter", true}, {"excursion", "run", false}, {"seal", "run", true}, {"unknown", "run", true}} {
		request, err := Decode(&amqp.Delivery{Type: c.band, MessageId: "k", Redelivered: true}, usualFields, &operator.Queue{OnRedelivery: c.setting}, time.Now(), idempotencyOf)
		if err != nil || request.MayHaveRunElsewhere != c.want {
			t.Errorf("%s, %s: %v, want %v (%v)", c.band, c.setting, request.MayHaveRunElsewhere, c.want, err)
		}
	}
}

func TestCopyKeepsMessageAndCountsReturns(t *testing.T) {
	d := &amqp.Delivery{Type: "trace", MessageId: "k", UserId: "acme", Expiration: "5000", Headers: amqp.Table{"customer": "acme"}, Body: []byte("x")}
	p := requeuedCopy(d, returnCount(d)+1)
	if p.UserId != "" || p.Headers[userIDHeader] != "acme" || p.Expiration != "5000" || p.MessageId != "k" || d.Headers[returnsHeader] != nil {
		t.Errorf("%+v of %+v", p, d)
	}
	again := &amqp.Delivery{Headers: p.Headers}
	if returnCount(again) != 1 || textOf(again, "user-id") != "acme" {
		t.Errorf("%d returns, user %q", returnCount(again), textOf(again, "user-id"))
	}
	if p := deadLetterCopy(d, "failed"); p.Expiration != "" {
		t.Error("a dead letter expires")
	}
	for _, odd := range []any{"many", int64(-1), 1e9, true} {
		if n := returnCount(&amqp.Delivery{Headers: amqp.Table{returnsHeader: odd}}); n != 0 {
			t.Errorf("%v counts as %d", odd, n)
		}
	}
}

func textOf(d *amqp.Delivery, field string) string {
	text, _ := textField(d, field)
	return text
}

func FuzzDecode(f *testing.F) {
	f.Add("trace", "k", "1000", "acme", 0.5, int64(1700000000), []byte("x"))
	f.Add("excursion", "", "1e400", "a\nb", 1.0, int64(-1<<62), []byte(nil))
	f.Add("seal", strings.Repeat("k", 300), "-5", "\x00", math.Copysign(0, -1), int64(1<<62), []byte("x"))
	f.Fuzz(func(t *testing.T, band, key, patience, customer string, rank float64, origin int64, body []byte) {
		now := time.Unix(1700000000, 0)
		d := &amqp.Delivery{Type: band, MessageId: key, Expiration: patience, Timestamp: time.Unix(origin, 0), Body: body, Redelivered: true,
			Headers: amqp.Table{"customer": customer, "rank": rank}}
		request, err := Decode(d, usualFields, &operator.Queue{}, now, idempotencyOf)
		if err != nil {
			return
		}
		if request.Class == "" || len(request.Key) > maxTextBytes || len(request.Tenant) > maxTextBytes || strings.ContainsAny(request.Tenant, "\r\n\x00") ||
			!(request.Priority >= 0 && request.Priority < 1) || request.CallerTimeout < 0 || request.CallerTimeout > maxCallerTimeout || !request.MayHaveRunElsewhere && idempotencyOf(band) != settings.Safe ||
			idempotencyOf(band) == settings.Idempotent && request.Key == "" {
			t.Errorf("%+v", request)
		}
	})
}
