package amqp

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/fake/broker"
	"thymechute/internal/node"
	"thymechute/internal/operator"
)

const settleTimeout = 10 * time.Second

// testLoop runs tasks in order on a goroutine of its own.
type testLoop struct{ tasks chan func() }

func newTestLoop(t *testing.T) *testLoop {
	l := &testLoop{tasks: make(chan func(), 1000)}
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	go func() {
		for {
			select {
			case task := <-l.tasks:
				task()
			case <-stopped:
				return
			}
		}
	}()
	return l
}

func (l *testLoop) Post(task func()) { l.tasks <- task }

func (l *testLoop) After(delay time.Duration, task func()) {
	time.AfterFunc(delay, func() { l.Post(task) })
}

// scriptedAdmission answers the first requests by a script and serves the later ones. It fails requests that may have run
// elsewhere, as an instance does that does not know their keys.
type scriptedAdmission struct {
	mu       sync.Mutex
	script   []node.Status
	admitted int
	served   int
}

func (a *scriptedAdmission) Admit(responder node.Responder, id node.MessageID, request node.Request) error {
	a.mu.Lock()
	status := node.Served
	if a.admitted < len(a.script) {
		status = a.script[a.admitted]
	}
	a.admitted++
	answer := node.Answer{Status: status, Result: []byte("result")}
	if request.MayHaveRunElsewhere {
		answer = node.Answer{Status: node.Failed, Cause: node.CauseMayHaveRun}
	} else if status == node.Served {
		a.served++
	}
	a.mu.Unlock()
	responder.Answer(id, answer)
	return nil
}

func (a *scriptedAdmission) CallerGone(node.Responder) {}

func (a *scriptedAdmission) Load() node.Load { return node.Load{Ready: true, Capacity: 100} }

func (a *scriptedAdmission) counts() (admitted, served int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitted, a.served
}

// redeliveryTest is a front that consumes from a fake broker.
type redeliveryTest struct {
	t         *testing.T
	broker    *broker.Broker
	admission *scriptedAdmission
}

// startRedeliveryTest starts a front with a credit of one message, so that a copy is delivered only after the settlement of its
// original or the connection's end.
func startRedeliveryTest(t *testing.T, fault string, maxReturns int, script ...node.Status) *redeliveryTest {
	t.Helper()
	return startRedeliveryTestWithCredit(t, 1, fault, maxReturns, script...)
}

func startRedeliveryTestWithCredit(t *testing.T, credit int, fault string, maxReturns int, script ...node.Status) *redeliveryTest {
	t.Helper()
	parsed, err := broker.ParseFault(fault)
	if err != nil {
		t.Fatal(err)
	}
	b, err := broker.New(parsed)
	if err != nil {
		t.Fatal(err)
	}
	for _, err := range []error{b.DeclareReadings("given-up", nil), b.DeclareQueue("replies", nil)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	address, err := b.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	config := &operator.AMQP{
		Brokers:     []operator.Endpoint{{Address: address}},
		Credentials: &operator.Credentials{Vhost: "/"},
		Queues:      []operator.Queue{{Name: "readings", DeadLetterExchange: "given-up", OnRedelivery: "dead-letter"}},
		Fields:      testFields,
		MinCredit:   credit, MaxCredit: credit, MaxBodyBytes: 4096, MaxReturns: maxReturns, ConfirmTimeoutSeconds: 5, HeartbeatSeconds: 20,
		Username: "guest", Password: "guest",
	}
	admission := &scriptedAdmission{script: script}
	loop := newTestLoop(t)
	loop.Post(func() {
		f := New(admission, loop, config, "n1", 1, idempotencyOf, zap.NewNop())
		f.Sweep(time.Now())
	})
	return &redeliveryTest{t: t, broker: b, admission: admission}
}

func (e *redeliveryTest) publish(class, replyTo string) {
	properties := broker.Props{broker.Type: class, broker.MessageID: "k", broker.CorrelationID: "c"}
	if replyTo != "" {
		properties[broker.ReplyTo] = replyTo
	}
	e.broker.Publish("", "readings", properties, []byte("body"))
}

// publishAndSettle publishes a message of the class and returns the replies once it is settled.
func (e *redeliveryTest) publishAndSettle(class string) (replies []string) {
	e.t.Helper()
	e.publish(class, "replies")
	return e.settledReplies()
}

// settledReplies waits until the queue is empty after a lost connection, and returns the outcomes and reasons of the replies.
func (e *redeliveryTest) settledReplies() (replies []string) {
	e.t.Helper()
	timeout := time.AfterFunc(settleTimeout, e.broker.Close)
	defer timeout.Stop()
	isSettled := func(s broker.QueueState) bool { return s.Ready == 0 && s.Unacked == 0 }
	if !e.broker.WaitForEvents("lost", 1) || !e.broker.WaitForQueue("readings", isSettled) {
		e.t.Fatalf("not settled: %+v", e.broker.QueueState("readings"))
	}
	for _, m := range e.broker.TakeMessages("replies") {
		replies = append(replies, fmt.Sprint(m.Props.Header(outcomeHeader), " ", m.Props.Header(reasonHeader)))
	}
	return replies
}

func (e *redeliveryTest) expect(replies, want []string, admitted, served int) {
	e.t.Helper()
	if !slices.Equal(replies, want) {
		e.t.Errorf("replies: got %q, want %q", replies, want)
	}
	if gotAdmitted, gotServed := e.admission.counts(); gotAdmitted != admitted || gotServed != served {
		e.t.Errorf("%d requests admitted and %d served, want %d and %d", gotAdmitted, gotServed, admitted, served)
	}
}

// Guards against review case 7: a message was given up as "may have run already", and its copy ran and was answered later.
func TestCopyOfGivenUpMessageIsNotRun(t *testing.T) {
	for _, class := range []string{"excursion", "seal"} {
		t.Run(class, func(t *testing.T) {
			e := startRedeliveryTest(t, "publish:1:cut-after", 3, node.Rejected)
			e.expect(e.publishAndSettle(class), []string{"scrapped may have run already"}, 2, 0)
		})
	}
}

// Guards against two answers to a safe message: of the redelivered original and its copy only one runs.
func TestRedeliveredSafeMessageRunsInsteadOfItsCopy(t *testing.T) {
	e := startRedeliveryTest(t, "publish:1:cut-after", 3, node.Rejected)
	e.expect(e.publishAndSettle("trace"), []string{"fulfilled <nil>"}, 2, 1)
}

// Guards against giving up a message whose confirmed copy stands for it: the ack of the original was lost.
func TestOriginalOfConfirmedCopyIsSettled(t *testing.T) {
	for _, class := range []string{"trace", "excursion", "seal"} {
		t.Run(class, func(t *testing.T) {
			e := startRedeliveryTest(t, "settle:1:drop-cut", 3, node.Rejected)
			e.expect(e.publishAndSettle(class), []string{"fulfilled <nil>"}, 2, 1)
		})
	}
}

// Guards against a second run of a message whose copy ran before the broker had confirmed it.
func TestOriginalOfArrivedCopyIsSettled(t *testing.T) {
	for _, class := range []string{"trace", "excursion", "seal"} {
		t.Run(class, func(t *testing.T) {
			e := startRedeliveryTestWithCredit(t, 8, "publish:1:late-confirm", 3, node.Rejected)
			e.publish(class, "") // a reply would wait for the confirm too
			if !e.broker.WaitForEvents("acked", 1) {
				t.Fatal("the copy was not acked")
			}
			e.broker.CutNewestConn()
			e.expect(e.settledReplies(), nil, 2, 1)
		})
	}
}

// Guards against a second, contradicting answer to a message whose answer was sent and whose ack was lost.
func TestLostAckGivesNoSecondAnswer(t *testing.T) {
	for _, class := range []string{"trace", "excursion", "seal"} {
		t.Run(class+" served", func(t *testing.T) {
			e := startRedeliveryTest(t, "settle:1:drop-cut", 3, node.Served)
			e.expect(e.publishAndSettle(class), []string{"fulfilled <nil>"}, 1, 1)
		})
		t.Run(class+" given up", func(t *testing.T) {
			e := startRedeliveryTest(t, "settle:1:drop-cut", 0, node.Rejected)
			e.expect(e.publishAndSettle(class), []string{"scrapped turned back 1 times"}, 1, 0)
		})
	}
}

// Guards against a contradicting answer to a message whose answer was taken by the broker, but not confirmed.
func TestUnconfirmedAnswerIsRepeated(t *testing.T) {
	for _, class := range []string{"trace", "excursion", "seal"} {
		t.Run(class+" served", func(t *testing.T) {
			e := startRedeliveryTest(t, "publish:1:cut-after", 3, node.Served)
			e.expect(e.publishAndSettle(class), []string{"fulfilled <nil>", "fulfilled <nil>"}, 1, 1)
		})
		t.Run(class+" given up", func(t *testing.T) {
			e := startRedeliveryTest(t, "publish:2:cut-after", 0, node.Rejected)
			e.expect(e.publishAndSettle(class), []string{"scrapped turned back 1 times", "scrapped turned back 1 times"}, 1, 0)
		})
	}
}
