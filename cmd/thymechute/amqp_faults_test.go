package main

import (
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/testutil"
)

func TestLostAckRunsIdempotentMessageOnce(t *testing.T) {
	e := startAMQP(t, amqpOptions{faults: []string{"settle:1:drop-cut"}})
	e.publish("excursion", "k1", "a")
	e.Runtime.SendEnd(1, e.expectStart("a"), "good", "once")
	e.expectEvent("ack-dropped", 1)
	e.expectEvent("acked", 1) // from the retained result, on the next connection
	e.expectNoEarlierStart(2)
}

func TestConnectionLossMidBatch(t *testing.T) {
	e := startAMQP(t, amqpOptions{amqp: `least-credit="8" most-credit="8"`})
	e.publish("excursion", "k1", "a")
	first := e.expectStart("a")
	e.publish("seal", "", "b")
	second := e.expectStart("b")
	e.publish("excursion", "k2", "c")
	third := e.expectStart("c")
	e.broker.CutNewestConn()
	e.expectEvent("delivered", 6) // all three again; on the new connection the same tags belong to other messages
	e.expectDeadLetter("", "may have run already")
	e.Runtime.SendEnd(1, third, "good", "")
	e.Runtime.SendEnd(2, second, "good", "") // its caller is gone and its message dead-lettered: ignored
	e.Runtime.SendEnd(3, first, "good", "")
	e.expectNoEarlierStart(4)
	if e.broker.EventCount("unknown-tag") != 0 {
		t.Error("a tag of the old connection was settled on the new one")
	}
	if e.broker.EventCount("acked") != 4 {
		t.Errorf("%d acked, want 4", e.broker.EventCount("acked"))
	}
}

// When the connection is lost, nothing waits for the results of its messages: a safe run is stopped, and the redelivered message
// runs again.
func TestSafeRunIsStoppedOnConnectionLoss(t *testing.T) {
	e := startAMQP(t, amqpOptions{})
	e.publish("trace", "", "a")
	first := e.expectStart("a")
	e.broker.CutNewestConn()
	if task, _ := e.Runtime.ExpectCommand("stop"); task != first {
		t.Errorf("stopped %s, want %s", task, first)
	}
	e.Runtime.SendEnd(1, first, "cut", "")
	e.Runtime.SendEnd(2, e.expectStart("a"), "good", "")
	e.expectAllSettled()
}

func TestBlockedBrokerPausesConsuming(t *testing.T) {
	e := startAMQP(t, amqpOptions{faults: []string{"deliver:1:block"}})
	e.publish("trace", "", "a")
	task := e.expectStart("a")
	e.expectEvent("cancelled", 1)
	e.publish("trace", "", "b")
	e.expectQueue("readings", 1, 1)
	e.Runtime.SendEnd(1, task, "good", "")
	e.broker.Resume()
	e.Runtime.SendEnd(2, e.expectStart("b"), "good", "")
	e.expectAllSettled()
}

func TestMissingReplyQueueAndLateOrMissingConfirms(t *testing.T) {
	e := startAMQP(t, amqpOptions{faults: []string{"publish:2:late-confirm", "publish:3:no-confirm"}})
	e.publishProps(broker.Props{broker.Type: "excursion", broker.MessageID: "k1", broker.ReplyTo: "nowhere"}, "a")
	e.Runtime.SendEnd(1, e.expectStart("a"), "good", "")
	e.expectAllSettled() // it is acked, as its caller is gone
	e.publishProps(broker.Props{broker.Type: "excursion", broker.MessageID: "k2", broker.ReplyTo: "replies"}, "b")
	e.Runtime.SendEnd(2, e.expectStart("b"), "good", "r")
	e.expectQueue("replies", 1, 0)
	if e.broker.QueueState("readings").Unacked != 1 {
		t.Error("acked before the reply was confirmed")
	}
	e.broker.Resume()
	e.expectAllSettled()
	e.publishProps(broker.Props{broker.Type: "excursion", broker.MessageID: "k3", broker.ReplyTo: "replies"}, "c")
	e.Runtime.SendEnd(3, e.expectStart("c"), "good", "r")
	e.expectEvent("lost", 1) // the connection to a broker that does not confirm is closed, and the retained result is sent again
	e.expectAllSettled()
	e.expectNoEarlierStart(4)
}

func TestUnroutableDeadLetterIsRequeued(t *testing.T) {
	e := startAMQP(t, amqpOptions{amqp: slowHeartbeat, faults: []string{"publish:1:refuse", "publish:2:channel-error"}})
	e.publish("colour", "m", "x")
	e.expectEvent("requeued", 1)
	e.expectDeadLetter("m", "unknown class")
	e.expectNoEarlierStart(1)
	if requeued, lost := e.broker.EventCount("requeued"), e.broker.EventCount("lost"); requeued != 2 || lost != 0 {
		t.Errorf("%d requeued, %d connections lost, want 2 and 0: a closed channel affects only what was published on it", requeued, lost)
	}
}

func TestDuplicateDeliveryTagClosesConnection(t *testing.T) {
	e := startAMQP(t, amqpOptions{faults: []string{"deliver:1:same-tag"}})
	e.publish("excursion", "k1", "a")
	e.expectEvent("lost", 1)
	e.publish("trace", "", "b")
	for n := 1; ; n++ {
		task, got := e.Runtime.ExpectCommand("start")
		e.Runtime.SendEnd(n, task, "good", "")
		if got == "b" {
			break
		}
	}
	e.expectAllSettled()
}

// A broker that violates the protocol affects only its own connection: the RPC server goes on, and later messages are served.
func TestBrokerProtocolFaults(t *testing.T) {
	for _, fault := range []string{"deliver:1:nonsense", "deliver:1:huge", "deliver:1:endless", "deliver:1:foreign", "deliver:1:mute",
		"deliver:1:cut-inside", "deliver:1:cut-before", "deliver:1:restart", "deliver:1:cancel", "deliver:1:channel-error",
		"deliver:1:stop-reading", "login:1:nonsense", "login:1:cut", "consume:1:cut", "heartbeat:1:mute"} {
		t.Run(fault, func(t *testing.T) {
			e := startAMQP(t, amqpOptions{faults: []string{fault}})
			stub := e.Connect()
			stub.SendRequest(1, "trace", "aa01", body, "")
			e.publish("excursion", "k1", "a") // when redelivered, it may be unknown here; it is then dead-lettered, but not lost
			started, got := e.Runtime.ExpectCommand("start")
			for n := 1; got != body; n++ {
				e.Runtime.SendEnd(n, started, "good", "")
				started, got = e.Runtime.ExpectCommand("start")
			}
			e.Runtime.SendEnd(9, started, "good", result)
			stub.ExpectResponse(1, 0, result)
			e.expectEvent("fault", 1)
			e.broker.Resume()
			e.publish("trace", "", "b")
			for {
				task, got := e.Runtime.ExpectCommand("start")
				e.Runtime.SendEnd(int(time.Now().UnixMicro()%1e9)+10, task, "good", "")
				if got == "b" {
					break
				}
			}
			e.expectAllSettled()
		})
	}
}

func TestRefusedLoginIsLoggedOnce(t *testing.T) {
	e := startAMQP(t, amqpOptions{faults: []string{"login:1+1:refuse"}})
	stub := e.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	e.Runtime.SendEnd(1, e.expectStart(body), "good", result)
	stub.ExpectResponse(1, 0, result)
	e.expectEvent("lost", 1)
	testutil.Eventually(t, "the log reports the refused login", func() bool {
		return strings.Contains(e.Program.Log(), "broker connection lost\t{\"broker\": 1,")
	})
	log := e.Program.Log()
	if strings.Count(log, "broker connection lost") != 1 || strings.Contains(log, "guest") {
		t.Error(log)
	}
}
