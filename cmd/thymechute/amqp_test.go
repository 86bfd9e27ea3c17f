package main

import (
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/testutil"
)

func TestMessageIsServedRepliedToAndAcked(t *testing.T) {
	e := startAMQP(t, amqpOptions{})
	e.publishProps(broker.Props{broker.Type: "trace", broker.ReplyTo: "replies", broker.CorrelationID: "c7"}, "body\x00\xff")
	e.Runtime.SendEnd(1, e.expectStart("body\x00\xff"), "good", "result\x00")
	e.expectAllSettled()
	e.expectQueue("replies", 1, 0)
	m := e.broker.TakeMessages("replies")[0]
	if string(m.Body) != "result\x00" || m.Props.Text(broker.CorrelationID) != "c7" || m.Props.Header("x-thymechute-outcome") != "fulfilled" {
		t.Errorf("reply: got body %q, properties %v", m.Body, m.Props)
	}
}

// An instance that does not know a redelivered message must assume that it has run.
func TestRedeliveryToRestartedInstanceIsNotRun(t *testing.T) {
	e := startAMQP(t, amqpOptions{})
	e.publish("excursion", "k1", "a")
	e.expectStart("a")
	e.Program.Kill()
	e.startProgram("new", 0)
	e.expectDeadLetter("k1", "may have run already")
	e.expectNoEarlierStart(1)
}

// The broker redelivers a message to another instance while the first still runs it: it must not run twice.
func TestRedeliveryToAnotherInstanceDuringRun(t *testing.T) {
	e := startAMQP(t, amqpOptions{})
	e.publish("excursion", "k1", "a")
	task := e.expectStart("a")
	other := testutil.NewEnvironment(t, func(config map[string]any) { config["name"] = "n4" })
	other.Program = testutil.StartProgramWith(t, other.Config, testutil.ProgramOptions{Args: []string{"--settings", e.operatorFile}})
	other.Runtime.AcceptSync(0, "new", 0)
	e.expectEvent("consumed", 2)
	e.broker.CutNewestConnOf("n3")
	e.expectDeadLetter("k1", "may have run already")
	e.Runtime.SendEnd(1, task, "good", "")
	e.expectEvent("consumed", 3)
	e.broker.CutNewestConnOf("n4")
	other.Program.Terminate() // its fake runtime fails the test on any start
	other.Program.ExpectExit(0)
	e.expectNoEarlierStart(2)
}

func TestDuplicateDeliveryRunsOnce(t *testing.T) {
	e := startAMQP(t, amqpOptions{faults: []string{"deliver:1:twice"}})
	e.publish("excursion", "k1", "a")
	task := e.expectStart("a")
	e.expectEvent("delivered", 2)
	e.Runtime.SendEnd(1, task, "good", "")
	e.expectEvent("acked", 2)
	e.expectNoEarlierStart(2)
}

func TestRedeliveryIsRunWhereQueueAllowsIt(t *testing.T) {
	e := startAMQP(t, amqpOptions{queue: `redelivered="run"`, faults: []string{"deliver:1:cut-after", "deliver:3:cut-after"}})
	e.publish("excursion", "k1", "a")
	task := e.expectStart("a") // of the first or the second delivery: both share one run
	e.expectEvent("delivered", 2)
	e.Runtime.SendEnd(1, task, "good", "")
	e.expectAllSettled()
	e.publish("seal", "", "b") // not idempotent: not run when redelivered
	e.expectEvent("delivered", 4)
	e.expectEvent("acked", 2)
}

func TestInvalidMessagesAreDeadLettered(t *testing.T) {
	e := startAMQP(t, amqpOptions{amqp: `largest-body="100"`})
	for _, c := range []struct {
		p      broker.Props
		reason string
	}{
		{broker.Props{}, "type: found nothing, expected a band"},
		{broker.Props{broker.Type: "colour"}, "unknown class"},
		{broker.Props{broker.Type: "trace", broker.Headers: broker.Table{"customer": "who"}}, "unknown tenant"},
		{broker.Props{broker.Type: "trace", broker.Headers: broker.Table{"customer": int32(7)}}, "header:customer: expected a text"},
		{broker.Props{broker.Type: "trace", broker.Headers: broker.Table{"rank": 1.0}}, "header:rank: expected a number"},
		{broker.Props{broker.Type: "trace", broker.Headers: broker.Table{"rank": "much"}}, "header:rank: expected a number"},
		{broker.Props{broker.Type: "trace", broker.Expiration: "soon"}, "expiration: expected milliseconds"},
		{broker.Props{broker.Type: "excursion"}, "message-id: found nothing, expected a key"},
		{broker.Props{broker.Type: "excursion", broker.MessageID: strings.Repeat("k", 200)}, "message-id: expected a text"},
	} {
		e.publishProps(c.p, "x")
		e.expectDeadLetter(c.p.Text(broker.MessageID), c.reason)
	}
	e.publishProps(broker.Props{broker.Type: "trace", broker.MessageID: "big"}, strings.Repeat("x", 9000))
	e.expectDeadLetter("big", "") // through the dead-letter exchange of the queue: the program did not buffer the body
	e.expectNoEarlierStart(1)
}

func TestTwoMessagesWithOneIdempotencyKey(t *testing.T) {
	e := startAMQP(t, amqpOptions{})
	e.publish("excursion", "k1", "a")
	task := e.expectStart("a")
	e.publish("excursion", "k1", "another")
	e.expectDeadLetter("k1", "another message stands under the same key")
	e.publish("excursion", "k1", "a") // the same message is coalesced with the run
	e.expectEvent("delivered", 3)
	e.Runtime.SendEnd(1, task, "good", "")
	e.expectNoEarlierStart(2)
}

func TestExpiredMessageIsDeadLettered(t *testing.T) {
	e := startAMQP(t, amqpOptions{})
	e.publishProps(broker.Props{broker.Type: "trace", broker.MessageID: "old", broker.Expiration: "1000", broker.Timestamp: uint64(time.Now().Unix() - 60)}, "x")
	e.expectDeadLetter("old", "its patience is over")
	e.publishProps(broker.Props{broker.Type: "trace", broker.Expiration: "20000", broker.Timestamp: uint64(time.Now().Unix() + 3600)}, "ahead") // by a sender whose clock is an hour fast
	e.Runtime.SendEnd(1, e.expectStart("ahead"), "good", "")
	e.expectAllSettled()
}

// A rejected message is returned to its queue as a copy with a count of returns, and dead-lettered at the limit.
func TestRejectedMessageIsReturnedUpToLimit(t *testing.T) {
	e := startAMQP(t, amqpOptions{amqp: `returns="2"`, change: func(config map[string]any) {
		d := testutil.SettingsSection(config, "domain")
		d["ram_kb"], d["entry_kb"] = 50, 100 // too little memory for any key entry
	}})
	e.publish("excursion", "k1", "a")
	e.expectDeadLetter("k1", "turned back 3 times")
	if n := e.broker.EventCount("requeued"); n != 0 {
		t.Errorf("%d requeued as redelivered, want 0: another instance would assume that they have run", n)
	}
	e.expectNoEarlierStart(1)
}
