package main

import (
	"testing"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/testutil"
)

func TestShutdownSettlesAllMessages(t *testing.T) {
	e := startAMQP(t, amqpOptions{amqp: `least-credit="8"`})
	e.publish("excursion", "k1", "a")
	task := e.expectStart("a")
	e.Program.Terminate()
	e.expectEvent("cancelled", 1)
	e.publish("trace", "", "too late") // no consumer: it stays in the queue
	e.Runtime.SendEnd(1, task, "good", "")
	e.Program.ExpectExit(0)
	e.expectQueue("readings", 1, 0)
	if acked, requeued := e.broker.EventCount("acked"), e.broker.EventCount("requeued"); acked != 1 || requeued != 0 {
		t.Errorf("%d acked, %d requeued, want 1 and 0", acked, requeued)
	}
}

// A shutdown waits for the broker to confirm a reply, so that the message is acked and not redelivered.
func TestShutdownWaitsForConfirms(t *testing.T) {
	e := startAMQP(t, amqpOptions{amqp: `confirm-s="5"`, faults: []string{"publish:1:late-confirm"}})
	e.publishProps(broker.Props{broker.Type: "seal", broker.ReplyTo: "replies"}, "a")
	task := e.expectStart("a")
	e.Program.Terminate()
	e.Runtime.SendEnd(1, task, "good", "")
	e.expectQueue("replies", 1, 0)
	select {
	case code := <-e.Program.Exited:
		t.Fatalf("exited with %d and left a message unsettled", code)
	case <-time.After(time.Second): // longer than a shutdown with nothing pending takes, including the grace period
	}
	e.broker.Resume()
	e.Program.ExpectExit(0)
	testutil.Eventually(t, "an ack at the broker", func() bool { return e.broker.EventCount("acked") == 1 }) // the program does not wait
}

// If the broker goes on delivering after the grace period, the message is not run but returned to the queue.
func TestDeliveryAfterGracePeriodIsNotRun(t *testing.T) {
	e := startAMQP(t, amqpOptions{amqp: `confirm-s="2" returns="0"`, faults: []string{"cancel:1:ignore"}})
	e.publish("seal", "", "a")
	task := e.expectStart("a")
	e.Program.Terminate()
	e.expectEvent("fault", 1)
	time.Sleep(400 * time.Millisecond) // the grace period of 0.3 s is over
	e.publish("seal", "", "too late")
	e.expectEvent("delivered", 3) // "a", "too late", and the returned copy of "too late"
	e.Runtime.SendEnd(1, task, "good", "")
	e.expectEvent("acked", 2) // "a", which ran, and "too late", which was returned as a copy
	e.Program.ExpectExit(0)
	e.expectQueue("readings", 1, 0)
	if n := e.broker.EventCount("delivered"); n != 3 {
		t.Errorf("%d deliveries, want 3: the message is returned again and again", n)
	}
}

func TestRuntimeOutageStopsConsuming(t *testing.T) {
	e := startAMQP(t, amqpOptions{})
	e.expectEvent("consumed", 1)
	e.Runtime.Disconnect()
	e.Runtime.Accept() // a link on which the sync is not answered yet
	e.expectEvent("cancelled", 1)
	e.publish("trace", "", "x")
	e.expectQueue("readings", 1, 0)
	e.Runtime.Send(`{"verb":"ready","outcome":"old","spent":99999}` + "\n")
	e.Runtime.AwaitCommand("gauges", "sync2")
	e.Runtime.Send(`{"verb":"load","nonce":"sync2","readings":[0.1,0]}` + "\n")
	e.Runtime.SendEnd(1, e.expectStart("x"), "good", "")
	e.expectAllSettled()
}
