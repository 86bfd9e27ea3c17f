package amqp

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"thymechute/internal/node"
	"thymechute/internal/operator"
	"thymechute/policy/settings"
)

var testFields = &operator.FieldMapping{
	Class:          "type",
	Tenant:         "header:customer",
	IdempotencyKey: "message-id",
	Subject:        "header:subject",
	Priority:       "header:rank",
	Origin:         "timestamp",
	CallerTimeout:  "expiration",
}

func idempotencyOf(class string) settings.Idempotency {
	switch class {
	case "trace":
		return settings.Safe
	case "excursion":
		return settings.Idempotent
	case "seal":
		return settings.NonIdempotent
	}
	return ""
}

// expectRequest fails the test unless the request equals want.
func expectRequest(t *testing.T, got, want node.Request, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("request %+v, error %v, want %+v", got, err, want)
	}
}

func TestDecodeFields(t *testing.T) {
	now := time.Unix(1700000000, 0)
	d := &amqp.Delivery{
		Type:       "excursion",
		MessageId:  "k",
		Expiration: "5000",
		Timestamp:  now.Add(-2 * time.Second),
		Body:       []byte("body"),
		Headers:    amqp.Table{"customer": "acme", "subject": "s1", "rank": float32(0.5)},
	}
	request, err := Decode(d, testFields, &operator.Queue{}, now, idempotencyOf)
	expectRequest(t, request, node.Request{
		Class:         "excursion",
		Key:           "k",
		Tenant:        "acme",
		Subject:       "s1",
		Priority:      0.5,
		CallerTimeout: 3 * time.Second,
		MemoryKB:      minMemoryKB,
		Body:          []byte("body"),
		ReceivedAt:    now,
	}, err)
	other := &operator.FieldMapping{
		Class:          "header:b",
		Tenant:         "user-id",
		IdempotencyKey: "correlation-id",
		Subject:        "app-id",
		Priority:       "priority",
		Origin:         "header:at",
		CallerTimeout:  "header:ms",
	}
	d = &amqp.Delivery{
		UserId:        "acme",
		CorrelationId: "k",
		AppId:         "s1",
		Priority:      200,
		Headers:       amqp.Table{"b": "trace", "at": now.UnixMilli() - 500, "ms": int32(1500)},
	}
	request, err = Decode(d, other, &operator.Queue{}, now, idempotencyOf)
	expectRequest(t, request, node.Request{
		Class:         "trace",
		Tenant:        "acme",
		Key:           "k",
		Subject:       "s1",
		Priority:      0.9,
		CallerTimeout: time.Second,
		MemoryKB:      minMemoryKB,
		ReceivedAt:    now,
	}, err)
}

// The origin time comes from another machine, whose clock may be wrong. A wrong clock may shorten the caller timeout but must
// not lengthen or remove it.
func TestCallerTimeoutByAnotherClock(t *testing.T) {
	now := time.Unix(1700000000, 0)
	for _, c := range []struct {
		origin time.Time
		want   time.Duration
	}{
		{time.Time{}, time.Second},
		{now, time.Second},
		{now.Add(time.Hour), time.Second},
		{now.Add(-400 * time.Millisecond), 600 * time.Millisecond},
		{now.Add(-time.Hour), 1},
		{time.Unix(-1<<60, 0), 1},
	} {
		request, err := Decode(&amqp.Delivery{
			Type:       "trace",
			Expiration: "1000",
			Timestamp:  c.origin,
		}, testFields, &operator.Queue{}, now, idempotencyOf)
		if err != nil || request.CallerTimeout != c.want {
			t.Errorf("origin %v: caller timeout %v, want %v (error %v)", c.origin, request.CallerTimeout, c.want, err)
		}
	}
	request, err := Decode(&amqp.Delivery{Type: "trace"}, testFields, &operator.Queue{}, now, idempotencyOf)
	if err != nil || request.CallerTimeout != 0 {
		t.Errorf("message without expiration: caller timeout %v, want 0 (error %v)", request.CallerTimeout, err)
	}
}

// A redelivered message may have run elsewhere, unless its class is safe, or idempotent and the queue is set to run it again.
func TestRedeliveredMayHaveRunElsewhere(t *testing.T) {
	for _, c := range []struct {
		class        string
		onRedelivery string
		want         bool
	}{
		{"trace", "dead-letter", false},
		{"excursion", "dead-letter", true},
		{"excursion", "run", false},
		{"seal", "run", true},
		{"unknown", "run", true},
	} {
		d := &amqp.Delivery{Type: c.class, MessageId: "k", Redelivered: true}
		queue := &operator.Queue{OnRedelivery: c.onRedelivery}
		request, err := Decode(d, testFields, queue, time.Now(), idempotencyOf)
		if err != nil || request.MayHaveRunElsewhere != c.want {
			t.Errorf("class %s, on redelivery %s: %v, want %v (error %v)", c.class, c.onRedelivery, request.MayHaveRunElsewhere, c.want, err)
		}
	}
}

func TestRequeuedCopyRetainsMessageAndCountsReturns(t *testing.T) {
	d := &amqp.Delivery{
		Type:       "trace",
		MessageId:  "k",
		UserId:     "acme",
		Expiration: "5000",
		Headers:    amqp.Table{"customer": "acme"},
		Body:       []byte("x"),
	}
	p := requeuedCopy(d, requeueCount(d)+1)
	if p.UserId != "" || p.Headers[userIDHeader] != "acme" || p.Expiration != "5000" || p.MessageId != "k" ||
		d.Headers[requeueCountHeader] != nil {
		t.Errorf("copy %+v, changed or incomplete, of %+v", p, d)
	}
	again := &amqp.Delivery{Headers: p.Headers}
	if requeueCount(again) != 1 || textOf(again, "user-id") != "acme" {
		t.Errorf("requeue count %d, user-id %q, want 1, acme", requeueCount(again), textOf(again, "user-id"))
	}
	if p := deadLetterCopy(d, "failed"); p.Expiration != "" {
		t.Errorf("dead letter has expiration %q, want none", p.Expiration)
	}
	for _, invalid := range []any{"many", int64(-1), 1e9, true} {
		if n := requeueCount(&amqp.Delivery{Headers: amqp.Table{requeueCountHeader: invalid}}); n != 0 {
			t.Errorf("requeue count header %v: count %d, want 0", invalid, n)
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
	f.Fuzz(func(t *testing.T, class, key, timeout, tenant string, priority float64, origin int64, body []byte) {
		d := &amqp.Delivery{
			Type:        class,
			MessageId:   key,
			Expiration:  timeout,
			Timestamp:   time.Unix(origin, 0),
			Body:        body,
			Redelivered: true,
			Headers:     amqp.Table{"customer": tenant, "rank": priority},
		}
		request, err := Decode(d, testFields, &operator.Queue{}, time.Unix(1700000000, 0), idempotencyOf)
		if err != nil {
			return
		}
		idempotency := idempotencyOf(class)
		for violation, isViolated := range map[string]bool{
			"no class":                 request.Class == "",
			"key too long":             len(request.Key) > maxTextBytes,
			"no key":                   idempotency == settings.Idempotent && request.Key == "",
			"tenant too long":          len(request.Tenant) > maxTextBytes,
			"tenant with a line break": strings.ContainsAny(request.Tenant, "\r\n\x00"),
			"priority out of bounds":   !(request.Priority >= 0 && request.Priority < 1),
			"caller timeout negative":  request.CallerTimeout < 0,
			"caller timeout too long":  request.CallerTimeout > maxCallerTimeout,
			"redelivery ignored":       !request.MayHaveRunElsewhere && idempotency != settings.Safe,
		} {
			if isViolated {
				t.Errorf("%s: %+v", violation, request)
			}
		}
	})
}
