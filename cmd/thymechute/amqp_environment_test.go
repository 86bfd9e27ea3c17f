package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/testutil"
)

const (
	slowHeartbeat = `heartbeat-s="20"` // for tests that fail if a delay on a busy machine is taken for a dead connection
	brokerTimeout = 20 * time.Second   // for the fake broker to reach a state
)

const operatorFileFormat = `<thymechute xmlns="urn:thymechute:operator:1"><amqp %s><broker address="%s"/>` +
	`<queue name="readings" dead-letter="given-up" %s/></amqp></thymechute>`

// amqpEnvironment is the program with a fake broker. The program consumes the queue readings; its dead letters arrive in the
// queue dead, its replies in the queue replies.
type amqpEnvironment struct {
	*testutil.Environment
	broker        *broker.Broker
	brokerAddress string
	operatorFile  string
}

// amqpOptions are the differences of a test from the default environment.
type amqpOptions struct {
	amqp   string               // attributes of the element amqp in the settings file
	queue  string               // attributes of the element queue in the settings file
	change func(map[string]any) // of the program's configuration
	faults []string             // of the broker, in the syntax of broker.ParseFault
}

// startAMQP starts the broker and the program, and establishes the runtime link.
func startAMQP(t *testing.T, options amqpOptions) *amqpEnvironment {
	t.Helper()
	attributes := options.amqp
	heartbeatSeconds := uint16(1)
	if !strings.Contains(attributes, "confirm-s") {
		attributes += ` confirm-s="1"`
	}
	if strings.Contains(attributes, slowHeartbeat) {
		heartbeatSeconds = 20
	} else {
		attributes += ` heartbeat-s="1"`
	}
	e := &amqpEnvironment{
		Environment:  testutil.NewEnvironment(t, options.change),
		operatorFile: filepath.Join(t.TempDir(), "settings.xml"),
	}
	e.startBroker(heartbeatSeconds, options.faults)
	text := fmt.Appendf(nil, operatorFileFormat, attributes, e.brokerAddress, options.queue)
	if err := os.WriteFile(e.operatorFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
	e.startProgram("new", 0)
	return e
}

func (e *amqpEnvironment) startBroker(heartbeatSeconds uint16, script []string) {
	e.T.Helper()
	var faults []broker.Fault
	for _, text := range script {
		fault, err := broker.ParseFault(text)
		if err != nil {
			e.T.Fatal(err)
		}
		faults = append(faults, fault)
	}
	var err error
	e.broker, err = broker.New(faults...)
	if err != nil {
		e.T.Fatal(err)
	}
	e.broker.Heartbeat = heartbeatSeconds
	e.brokerAddress, err = e.broker.Start("127.0.0.1:0")
	if err != nil {
		e.T.Fatal(err)
	}
	e.T.Cleanup(e.broker.Close)
	deadLetterErr := e.broker.DeclareReadings("given-up", broker.Table{"x-dead-letter-exchange": "given-up"})
	if err := errors.Join(deadLetterErr, e.broker.DeclareQueue("replies", nil)); err != nil {
		e.T.Fatal(err)
	}
}

// startProgram starts the program with a runtime that has been in the given state for sinceMillis.
func (e *amqpEnvironment) startProgram(state string, sinceMillis int) {
	e.T.Helper()
	e.Program = testutil.StartProgramWith(e.T, e.Config, testutil.ProgramOptions{Args: []string{"serve", "--settings", e.operatorFile}})
	e.Runtime.AcceptSync(0, state, sinceMillis)
}

// publish publishes a message of a class to the queue readings, without a message ID if key is empty.
func (e *amqpEnvironment) publish(class, key, body string) {
	e.T.Helper()
	p := broker.Props{broker.Type: class, broker.Headers: broker.Table{"customer": "acme", "rank": 0.5}}
	if key != "" {
		p[broker.MessageID] = key
	}
	e.publishProps(p, body)
}

func (e *amqpEnvironment) publishProps(p broker.Props, body string) {
	e.T.Helper()
	if !e.broker.Publish("", "readings", p, []byte(body)) {
		e.T.Fatal("the message to the queue readings was not routed")
	}
}

// expectAllSettled waits until the queue readings has no message, neither ready nor unacknowledged.
func (e *amqpEnvironment) expectAllSettled() {
	e.T.Helper()
	e.expectQueue("readings", 0, 0)
}

// expectQueue waits until the queue has exactly these numbers of ready and unacknowledged messages.
func (e *amqpEnvironment) expectQueue(queue string, ready, unacked int) {
	e.T.Helper()
	done := time.AfterFunc(brokerTimeout, e.broker.Close)
	defer done.Stop()
	if !e.broker.WaitForQueue(queue, func(s broker.QueueState) bool { return s.Ready == ready && s.Unacked == unacked }) {
		e.T.Fatalf("queue %s: got %+v, want %d ready and %d unacknowledged", queue, e.broker.QueueState(queue), ready, unacked)
	}
}

// expectEvent waits until the broker has counted n events of the kind.
func (e *amqpEnvironment) expectEvent(kind broker.EventKind, n int) {
	e.T.Helper()
	done := time.AfterFunc(brokerTimeout, e.broker.Close)
	defer done.Stop()
	if !e.broker.WaitForEvents(kind, n) {
		e.T.Fatalf("event %s: the broker has not counted %d", kind, n)
	}
}

// expectDeadLetter waits for a single dead letter, removes it and checks its message ID and reason.
func (e *amqpEnvironment) expectDeadLetter(key, reason string) {
	e.T.Helper()
	e.expectQueue("dead", 1, 0)
	m := e.broker.TakeMessages("dead")[0]
	if got, _ := m.Props.Header("x-thymechute-reason").(string); m.Props.Text(broker.MessageID) != key || !strings.Contains(got, reason) {
		e.T.Errorf("dead letter: got key %q with reason %q, want key %q with reason %q", m.Props.Text(broker.MessageID), got, key, reason)
	}
}

// expectStart waits for the start of a run, checks its body and returns its task.
func (e *amqpEnvironment) expectStart(want string) (task string) {
	e.T.Helper()
	task, got := e.Runtime.ExpectCommand("start")
	if got != want {
		e.T.Fatalf("started %q, want %q", got, want)
	}
	return task
}

// expectNoEarlierStart serves one more message. It fails if another run was started before, as that would arrive first.
func (e *amqpEnvironment) expectNoEarlierStart(index int) {
	e.T.Helper()
	e.publish("trace", "", "the last")
	e.Runtime.SendEnd(index, e.expectStart("the last"), "good", "")
	e.expectAllSettled()
}
