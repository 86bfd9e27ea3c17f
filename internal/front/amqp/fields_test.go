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

var usual = &operator.FieldMapping{Class: "type", Tenant: "header:customer", IdempotencyKey: "message-id", Subject: "header:subject",
	Priority: "header:rank", Origin: "timestamp", CallerTimeout: "expiration"}

func kindOf(class string) settings.Idempotency {
	return map[string]settings.Idempotency{"trace": settings.Safe, "excursion": settings.Idempotent, "seal": settings.NonIdempotent}[class]
}

func TestFieldsOfAMessage(t *testing.T) {
	now := time.Unix(1700000000, 0)
	d := &amqp.Delivery{Type: "excursion", MessageId: "k", Expiration: "5000", Timestamp: now.Add(-2 * time.Second), Body: []byte("body"),
		Headers: amqp.Table{"customer": "acme", "subject": "s1", "rank": float32(0.5)}}
	ask, err := Decode(d, usual, &operator.Queue{}, now, kindOf)
	if err != nil || ask.Class != "excursion" || ask.Key != "k" || ask.Tenant != "acme" || ask.Subject != "s1" ||
		ask.Priority != 0.5 || ask.CallerTimeout != 3*time.Second || string(ask.Body) != "body" || !ask.ReceivedAt.Equal(now) || ask.MayHaveRunElsewhere {
		t.Errorf("%+v, %v", ask, err)
	}
	other := &operator.FieldMapping{Class: "header:b", Tenant: "user-id", IdempotencyKey: "correlation-id", Subject: "app-id", Priority: "priority",
		Origin: "header:at", CallerTimeout: "header:ms"}
	d = &amqp.Delivery{UserId: "acme", CorrelationId: "k", AppId: "s1", Priority: 200,
		Headers: amqp.Table{"b": "trace", "at": now.UnixMilli() - 500, "ms": int32(1500)}}
	ask, err = Decode(d, other, &operator.Queue{}, now, kindOf)
	if err != nil || ask.Class != "trace" || ask.Tenant != "acme" || ask.Key != "k" || ask.Subject != "s1" || ask.Priority != 0.9 || ask.CallerTimeout != time.Second {
		t.Errorf("%+v, %v", ask, err)
	}
}

// A clock elsewhere may be wrong: it shortens a patience, never lengthens it, and never makes it none.
func TestPatienceByAClockElsewhere(t *testing.T) {
	now := time.Unix(1700000000, 0)
	for _, c := range []struct {
		origin time.Time
		want   time.Duration
	}{{time.Time{}, time.Second}, {now, time.Second}, {now.Add(time.Hour), time.Second}, {now.Add(-400 * time.Millisecond), 600 * time.Millisecond},
		{now.Add(-time.Hour), 1}, {time.Unix(-1<<60, 0), 1}} {
		ask, err := Decode(&amqp.Delivery{Type: "trace", Expiration: "1000", Timestamp: c.origin}, usual, &operator.Queue{}, now, kindOf)
		if err != nil || ask.CallerTimeout != c.want {
			t.Errorf("from %v: %v, want %v (%v)", c.origin, ask.CallerTimeout, c.want, err)
		}
	}
	if ask, err := Decode(&amqp.Delivery{Type: "trace"}, usual, &operator.Queue{}, now, kindOf); err != nil || ask.CallerTimeout != 0 {
		t.Errorf("%v, though none is told", ask.CallerTimeout)
	}
}

// What may not run twice is told by the first delivery alone, unless the queue proves more.
func TestRedelivered(t *testing.T) {
	for _, c := range []struct {
		band, setting string
		want          bool
	}{{"trace", "dead-letter", false}, {"excursion", "dead-letter", true}, {"excursion", "run", false}, {"seal", "run", true}, {"unknown", "run", true}} {
		ask, err := Decode(&amqp.Delivery{Type: c.band, MessageId: "k", Redelivered: true}, usual, &operator.Queue{OnRedelivery: c.setting}, time.Now(), kindOf)
		if err != nil || ask.MayHaveRunElsewhere != c.want {
			t.Errorf("%s, %s: %v, want %v (%v)", c.band, c.setting, ask.MayHaveRunElsewhere, c.want, err)
		}
	}
}

func TestCopyKeepsTheMessageAndCountsItsReturns(t *testing.T) {
	d := &amqp.Delivery{Type: "trace", MessageId: "k", UserId: "acme", Expiration: "5000", Headers: amqp.Table{"customer": "acme"}, Body: []byte("x")}
	p := publishing(d, returnsField, int64(returned(d)+1))
	if p.UserId != "" || p.Headers[userField] != "acme" || p.Expiration != "5000" || p.MessageId != "k" || d.Headers[returnsField] != nil {
		t.Errorf("%+v of %+v", p, d)
	}
	again := &amqp.Delivery{Headers: p.Headers}
	if returned(again) != 1 || word2(again, "user-id") != "acme" {
		t.Errorf("%d returns, user %q", returned(again), word2(again, "user-id"))
	}
	if p := publishing(d, reasonField, "failed"); p.Expiration != "" {
		t.Error("a dead letter runs out of time once more")
	}
	for _, odd := range []any{"many", int64(-1), 1e9, true} {
		if n := returned(&amqp.Delivery{Headers: amqp.Table{returnsField: odd}}); n != 0 {
			t.Errorf("%v counts as %d", odd, n)
		}
	}
}

func word2(d *amqp.Delivery, field string) string {
	w, _ := word(d, field)
	return w
}

func FuzzDecode(f *testing.F) {
	f.Add("trace", "k", "1000", "acme", 0.5, int64(1700000000), []byte("x"))
	f.Add("excursion", "", "1e400", "a\nb", 1.0, int64(-1<<62), []byte(nil))
	f.Add("seal", strings.Repeat("k", 300), "-5", "\x00", math.Copysign(0, -1), int64(1<<62), []byte("x"))
	f.Fuzz(func(t *testing.T, band, key, patience, customer string, rank float64, origin int64, body []byte) {
		now := time.Unix(1700000000, 0)
		d := &amqp.Delivery{Type: band, MessageId: key, Expiration: patience, Timestamp: time.Unix(origin, 0), Body: body, Redelivered: true,
			Headers: amqp.Table{"customer": customer, "rank": rank}}
		ask, err := Decode(d, usual, &operator.Queue{}, now, kindOf)
		if err != nil {
			return
		}
		if ask.Class == "" || len(ask.Key) > longestWord || len(ask.Tenant) > longestWord || strings.ContainsAny(ask.Tenant, "\r\n\x00") ||
			!(ask.Priority >= 0 && ask.Priority < 1) || ask.CallerTimeout < 0 || ask.CallerTimeout > longestSpan || !ask.MayHaveRunElsewhere && kindOf(band) != settings.Safe ||
			kindOf(band) == settings.Idempotent && ask.Key == "" {
			t.Errorf("%+v", ask)
		}
	})
}
