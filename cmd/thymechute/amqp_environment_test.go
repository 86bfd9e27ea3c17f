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
	slowHeartbeat = `heartbeat-s="20"` // for tests in which a busy machine must not be taken for a dead connection
	brokerTimeout = 20 * time.Second   // of a wait for the fake broker
)

const operatorFileFormat = `<thymechute xmlns="urn:thymechute:operator:1"><amqp %s><broker address="%s"/>` +
	`<queue name="readings" dead-letter="given-up" %s/></amqp></thymechute>`

// amqpEnvironment is the program with a fake broker: it consumes the queue readings, dead-letters to dead and replies to
// replies.
type amqpEnvironment struct {
	*testutil.Environment
	broker        *broker.Broker
	brokerAddress string
	operatorFile  string
}

// amqpOptions are what a test changes of the set-up.
type amqpOptions struct {
	amqp   string               // attributes of the element amqp
	queue  string               // attributes of the element queue
	change func(map[string]any) // of the program's configuration
	faults []string             // of the broker, in broker.ParseFault's form
}

// startAMQP starts the broker and the program with its runtime link up.
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

// startProgram starts the program beside a runtime that is in the state since so many milliseconds.
func (e *amqpEnvironment) startProgram(state string, sinceMillis int) {
	e.T.Helper()
	e.Program = testutil.StartProgramWith(e.T, e.Config, testutil.ProgramOptions{Args: []string{"serve", "--settings", e.operatorFile}})
	e.Runtime.AcceptSync(0, state, sinceMillis)
}

// publish publishes a message of a class; an empty key is left out.
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
		e.T.Fatal("the message was not routed")
	}
}

// expectAllSettled waits until the queue has no message, ready or unacknowledged.
func (e *amqpEnvironment) expectAllSettled() {
	e.T.Helper()
	e.expectQueue("readings", 0, 0)
}

// expectQueue waits until the queue has so many messages ready and unacknowledged.
func (e *amqpEnvironment) expectQueue(queue string, ready, unacked int) {
	e.T.Helper()
	done := time.AfterFunc(brokerTimeout, e.broker.Close)
	defer done.Stop()
	if !e.broker.WaitForQueue(queue, func(s broker.QueueState) bool { return s.Ready == ready && s.Unacked == unacked }) {
		e.T.Fatalf("%s holds %+v, want %d ready and %d unacknowledged", queue, e.broker.QueueState(queue), ready, unacked)
	}
}

// expectEvent waits until the broker has counted n of these events.
func (e *amqpEnvironment) expectEvent(kind broker.EventKind, n int) {
	e.T.Helper()
	done := time.AfterFunc(brokerTimeout, e.broker.Close)
	defer done.Stop()
	if !e.broker.WaitForEvents(kind, n) {
		e.T.Fatalf("%s: not seen %d times", kind, n)
	}
}

// expectDeadLetter takes the only dead letter and checks its key and reason.
func (e *amqpEnvironment) expectDeadLetter(key, reason string) {
	e.T.Helper()
	e.expectQueue("dead", 1, 0)
	m := e.broker.TakeMessages("dead")[0]
	if got, _ := m.Props.Header("x-thymechute-reason").(string); m.Props.Text(broker.MessageID) != key || !strings.Contains(got, reason) {
		e.T.Errorf("dead letter %q because %q, want %q because %q", m.Props.Text(broker.MessageID), got, key, reason)
	}
}

// expectStart waits for the start of a run with that body, and returns its task.
func (e *amqpEnvironment) expectStart(want string) (task string) {
	e.T.Helper()
	task, got := e.Runtime.ExpectCommand("start")
	if got != want {
		e.T.Fatalf("started %q, want %q", got, want)
	}
	return task
}

// expectNoEarlierStart completes one more message: any run started before it would come first.
func (e *amqpEnvironment) expectNoEarlierStart(index int) {
	e.T.Helper()
	e.publish("trace", "", "the last")
	e.Runtime.SendEnd(index, e.expectStart("the last"), "good", "")
	e.expectAllSettled()
}
