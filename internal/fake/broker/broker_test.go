package broker

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// peer is a client connection of the library amqp091-go, an implementation of the specification independent of this package.
type peer struct {
	t          *testing.T
	b          *Broker
	conn       *amqp.Connection
	ch         *amqp.Channel
	deliveries <-chan amqp.Delivery
}

// startBroker starts a broker with the queues q and dead, and returns it with a function that connects a peer.
func startBroker(t *testing.T, faults ...Fault) (*Broker, func() *peer) {
	t.Helper()
	b, err := New(faults...)
	if err != nil {
		t.Fatal(err)
	}
	address, err := b.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	for _, q := range []string{"dead", "q"} {
		if err := b.DeclareQueue(q, Table{"x-dead-letter-exchange": "dlx", "x-queue-type": "quorum"}); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.DeclareExchange("dlx", "fanout"); err != nil || b.Bind("dead", "dlx", "") != nil {
		t.Fatal("the dead-letter exchange was not declared")
	}
	return b, func() *peer {
		conn, err := amqp.Dial("amqp://guest:guest@" + address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		ch, err := conn.Channel()
		if err != nil {
			t.Fatal(err)
		}
		return &peer{t, b, conn, ch, nil}
	}
}

func (p *peer) consume(prefetch int) {
	p.t.Helper()
	err := p.ch.Qos(prefetch, 0, false)
	if err == nil {
		p.deliveries, err = p.ch.Consume("q", "", false, false, false, false, nil)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) nextDelivery() amqp.Delivery {
	p.t.Helper()
	select {
	case d, ok := <-p.deliveries:
		if ok {
			return d
		}
	case <-time.After(20 * time.Second):
	}
	p.t.Fatal("no delivery within 20 s")
	return amqp.Delivery{}
}

// expectQueue waits until the queue has the given numbers of ready and unacked messages.
func (b *Broker) expectQueue(t *testing.T, name string, ready, unacked int) {
	t.Helper()
	if !b.WaitForQueue(name, func(s QueueState) bool { return s.Ready == ready && s.Unacked == unacked }) {
		t.Errorf("%s: %+v, want %d ready, %d unacked", name, b.QueueState(name), ready, unacked)
	}
}

func TestMultiFrameMessageRoundTrip(t *testing.T) {
	b, dial := startBroker(t)
	p := dial()
	body := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	if err := p.ch.Confirm(false); err != nil {
		t.Fatal(err)
	}
	sent := amqp.Publishing{Type: "trace", MessageId: "m", Expiration: "100", Priority: 3, Timestamp: time.Unix(1700000000, 0),
		Headers: amqp.Table{"customer": "acme", "rank": 0.5, "list": []any{int32(1), "x"}}, Body: body}
	done, err := p.ch.PublishWithDeferredConfirm("", "q", true, false, sent)
	if err != nil || !done.Wait() {
		t.Fatal(err, "the message was not confirmed")
	}
	p.consume(1)
	d := p.nextDelivery()
	if !bytes.Equal(d.Body, body) || d.Type != "trace" || d.MessageId != "m" || d.Expiration != "100" || d.Priority != 3 ||
		d.Timestamp.Unix() != 1700000000 || d.Headers["rank"] != 0.5 || d.Redelivered {
		t.Errorf("%+v", d)
	}
	if err := d.Ack(false); err != nil {
		t.Fatal(err)
	}
	b.expectQueue(t, "q", 0, 0)
}

func TestSettlement(t *testing.T) {
	b, dial := startBroker(t)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		b.Publish("", "q", Props{MessageID: id}, []byte(id))
	}
	p := dial()
	p.consume(3)
	a, second, c := p.nextDelivery(), p.nextDelivery(), p.nextDelivery()
	b.expectQueue(t, "q", 2, 3) // no more than the prefetch limit
	_ = second.Ack(true)        // settles a as well
	d, e := p.nextDelivery(), p.nextDelivery()
	_ = c.Reject(true)
	if back := p.nextDelivery(); back.MessageId != "c" || !back.Redelivered || back.Headers["x-delivery-count"] != int64(1) {
		t.Errorf("%+v", back)
	}
	_ = d.Reject(false)
	b.expectQueue(t, "dead", 1, 0)
	p.conn.Close()
	b.expectQueue(t, "q", 2, 0) // c and e are requeued
	p = dial()
	p.consume(0)
	if c, again := p.nextDelivery(), p.nextDelivery(); c.MessageId != "c" || again.MessageId != "e" || !again.Redelivered {
		t.Errorf("delivered %s, %s, want c and a redelivered e", c.MessageId, again.MessageId)
	}
	_, _ = a, e
	closed := p.ch.NotifyClose(make(chan *amqp.Error, 1))
	_ = p.ch.Ack(77, false)
	if err := <-closed; err == nil || err.Code != 406 {
		t.Errorf("ack of an unknown delivery tag: channel closed with %v, want reply code 406", err)
	}
	b.expectQueue(t, "q", 2, 0)
}

func TestUnroutableMessageIsReturnedAndUnknownExchangeClosesChannel(t *testing.T) {
	_, dial := startBroker(t)
	p := dial()
	_ = p.ch.Confirm(false)
	back := p.ch.NotifyReturn(make(chan amqp.Return, 1))
	done, _ := p.ch.PublishWithDeferredConfirm("", "nowhere", true, false, amqp.Publishing{MessageId: "m", Body: []byte("x")})
	if r := <-back; r.MessageId != "m" || r.ReplyCode != 312 || !done.Wait() {
		t.Errorf("%+v", r)
	}
	closed := p.ch.NotifyClose(make(chan *amqp.Error, 1))
	_, _ = p.ch.PublishWithDeferredConfirm("nowhere", "", true, false, amqp.Publishing{})
	if err := <-closed; err == nil || err.Code != 404 {
		t.Errorf("%v", err)
	}
}

func TestSingleActiveConsumer(t *testing.T) {
	b, dial := startBroker(t)
	if err := b.DeclareQueue("single", Table{"x-single-active-consumer": true}); err != nil {
		t.Fatal(err)
	}
	one, two := dial(), dial()
	one.deliveries, _ = one.ch.Consume("single", "", false, false, false, false, nil)
	two.deliveries, _ = two.ch.Consume("single", "", false, false, false, false, nil)
	for range 4 {
		b.Publish("", "single", Props{}, nil)
	}
	for range 4 {
		one.nextDelivery()
	}
	one.conn.Close()
	for range 4 {
		two.nextDelivery()
	}
}

func TestFaultIsInjectedOnce(t *testing.T) {
	for _, c := range []struct {
		action      FaultAction
		want        string // ID of the first message that the peer receives
		otherConn   bool   // it is received on a new connection
		redelivered bool
	}{
		{"cut-before", "m", true, false}, // not sent before the cut
		{"cut-inside", "m", true, true},
		{"cut-after", "m", true, true},
		{"restart", "m", true, false},
		{"nonsense", "m", true, true}, // sent before the malformed bytes
		{"huge", "m", true, true},
		{"channel-error", "m", true, false},
		{"cancel", "m", true, false},
		{"reorder", "n", false, false},
	} {
		b, dial := startBroker(t, Fault{Point: "deliver", Nth: 1, Action: c.action})
		b.Publish("", "q", Props{MessageID: "m"}, []byte("body"))
		b.Publish("", "q", Props{MessageID: "n"}, []byte("body"))
		p := dial()
		ended := p.ch.NotifyClose(make(chan *amqp.Error, 1))
		cancelled := p.ch.NotifyCancel(make(chan string, 1))
		_ = p.ch.Qos(1, 0, false)
		p.deliveries, _ = p.ch.Consume("q", "", false, false, false, false, nil)
		if c.otherConn {
			select {
			case <-ended:
			case <-cancelled:
			case <-time.After(20 * time.Second):
				t.Fatalf("%s: neither the channel was closed nor the consumer cancelled within 20 s", c.action)
			}
			p.conn.Close()
			if !b.WaitForEvents("lost", 1) { // the peer learns that the connection is closed before the broker does
				t.Fatalf("%s: the broker did not notice that the connection was closed", c.action)
			}
			p = dial()
			p.consume(1)
		}
		if d := p.nextDelivery(); d.MessageId != c.want || d.Redelivered != c.redelivered {
			t.Errorf("%s: delivered %s, redelivered %v", c.action, d.MessageId, d.Redelivered)
		}
	}
}

func TestLostAckIsRedelivered(t *testing.T) {
	b, dial := startBroker(t, Fault{Point: "settle", Nth: 1, Action: "drop"}, Fault{Point: "deliver", Nth: 2, Action: "twice"})
	b.Publish("", "q", Props{MessageID: "m"}, nil)
	p := dial()
	p.consume(0)
	_ = p.nextDelivery().Ack(false)
	b.WaitForEvents("ack-dropped", 1)
	b.expectQueue(t, "q", 0, 1)
	b.CutNewestConn()
	p = dial()
	p.consume(0)
	for range 2 { // the fault delivers the redelivered message twice
		d := p.nextDelivery()
		if d.MessageId != "m" || !d.Redelivered {
			t.Errorf("%+v", d)
		}
		_ = d.Ack(false)
	}
	b.expectQueue(t, "q", 0, 0)
}

func TestDelayedConfirmAndRejectedLogin(t *testing.T) {
	b, dial := startBroker(t, Fault{Point: "publish", Nth: 1, Action: "late-confirm"}, Fault{Point: "publish", Nth: 2, Action: "refuse"}, Fault{Point: "login", Nth: 2, Action: "refuse"})
	p := dial()
	_ = p.ch.Confirm(false)
	late, _ := p.ch.PublishWithDeferredConfirm("", "q", false, false, amqp.Publishing{})
	refused, _ := p.ch.PublishWithDeferredConfirm("", "q", false, false, amqp.Publishing{})
	if refused.Wait() || late.Acked() {
		t.Error("a refused or delayed message was confirmed")
	}
	b.Resume()
	if !late.Wait() {
		t.Error("the delayed message was not confirmed after Resume")
	}
	_, err := amqp.Dial("amqp://guest:guest@" + b.server.listener.Addr().String())
	if err == nil {
		t.Error("the second login was accepted, want it refused")
	}
}

// A connection that sends something other than AMQP is closed; other connections are unaffected.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	b, dial := startBroker(t)
	p := dial()
	p.consume(1)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "AMQP\x00\x00\x09\x01\x01\x00\x00\xff\xff\xff\xff", "AMQP\x00\x00\x09\x01\x01\x00\x01\x00\x00\x00\x00\xce"} {
		c, err := net.Dial("tcp", b.server.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(text))
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		var all bytes.Buffer
		if _, err := all.ReadFrom(c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%q: %v", text, err)
		}
		c.Close()
	}
	b.Publish("", "q", Props{MessageID: "m"}, nil)
	if p.nextDelivery().MessageId != "m" {
		t.Error("another connection did not receive its message")
	}
}

func TestFaultScriptCountsEvents(t *testing.T) {
	f, err := ParseFault("settle:3+2:drop")
	if err != nil {
		t.Fatal(err)
	}
	s := faultScript{[]Fault{f}, map[FaultPoint]int{}}
	got := ""
	for range 8 {
		got += string(append([]byte(s.next("settle")), '.')[0])
	}
	if got != "..d.d.d." {
		t.Error(got)
	}
	for _, text := range []string{"", "settle:0:drop", "settle:1:dance", "x:1:drop", "settle:1+x:drop", "settle:drop"} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("%q: no error", text)
		}
	}
	if _, err := (&Broker{}).Start("0.0.0.0:0"); err == nil {
		t.Error("an address outside loopback: no error")
	}
}
