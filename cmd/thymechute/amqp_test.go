package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/testutil"
)

// fed is the program at a stand-in broker: queue readings, dead letters in dead, answers in replies.
type fed struct {
	*testutil.Environment
	b        *broker.Broker
	address  string // the broker's
	settings string
}

const patient = `heartbeat-s="20"`

const settingsForm = `<thymechute xmlns="urn:thymechute:operator:1"><amqp %s><broker address="%s"/>` +
	`<queue name="readings" dead-letter="given-up" %s/></amqp></thymechute>`

// feed starts broker and program; the runtime is up, and more of the settings as told.
func feed(t *testing.T, amqp, queue string, change func(map[string]any), script ...string) *fed {
	t.Helper()
	if !strings.Contains(amqp, "confirm-s") {
		amqp += ` confirm-s="1"`
	}
	beat := 1 // seconds; longer where a machine that is busy must not be taken for a connection that is dead
	if strings.Contains(amqp, patient) {
		beat = 20
	} else {
		amqp += ` heartbeat-s="1"`
	}
	var faults []broker.Fault
	for _, text := range script {
		f, err := broker.ParseFault(text)
		if err != nil {
			t.Fatal(err)
		}
		faults = append(faults, f)
	}
	b, err := broker.New(faults...)
	if err != nil {
		t.Fatal(err)
	}
	b.Heartbeat = uint16(beat)
	address, err := b.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	if err := errors.Join(b.DeclareReadings("given-up", broker.Table{"x-dead-letter-exchange": "given-up"}), b.DeclareQueue("replies", nil)); err != nil {
		t.Fatal(err)
	}
	f := &fed{Environment: testutil.NewEnvironment(t, change), b: b, address: address, settings: filepath.Join(t.TempDir(), "settings.xml")}
	if err := os.WriteFile(f.settings, fmt.Appendf(nil, settingsForm, amqp, address, queue), 0o600); err != nil {
		t.Fatal(err)
	}
	f.live("new", 0)
	return f
}

// live starts the program, beside a runtime that began so many milliseconds ago.
func (f *fed) live(state string, ago int) {
	f.T.Helper()
	f.Program = testutil.StartWith(f.T, f.Config, nil, "serve", "--settings", f.settings)
	f.Runtime.Sync(0, state, ago)
}

// put publishes a message of a band; seal has no key.
func (f *fed) put(band, key, body string) {
	f.T.Helper()
	p := broker.Props{broker.Type: band, broker.Headers: broker.Table{"customer": "acme", "rank": 0.5}}
	if key != "" {
		p[broker.MessageID] = key
	}
	f.with(p, body)
}

func (f *fed) with(p broker.Props, body string) {
	f.T.Helper()
	if !f.b.Publish("", "readings", p, []byte(body)) {
		f.T.Fatal("published nowhere")
	}
}

// settled waits until nothing is left with the broker, in hand or ready.
func (f *fed) settled() {
	f.T.Helper()
	f.holds("readings", 0, 0)
}

func (f *fed) holds(queue string, ready, out int) {
	f.T.Helper()
	done := time.AfterFunc(20*time.Second, f.b.Close)
	defer done.Stop()
	if !f.b.WaitForQueue(queue, func(s broker.QueueState) bool { return s.Ready == ready && s.Unacked == out }) {
		f.T.Fatalf("%s holds %+v, want %d ready and %d out", queue, f.b.QueueState(queue), ready, out)
	}
}

// seen waits for so many events at the broker.
func (f *fed) seen(kind broker.EventKind, n int) {
	f.T.Helper()
	done := time.AfterFunc(20*time.Second, f.b.Close)
	defer done.Stop()
	if !f.b.WaitForEvents(kind, n) {
		f.T.Fatalf("%s: not seen %d times", kind, n)
	}
}

// dead takes the one dead letter and checks its reason.
func (f *fed) dead(key, reason string) {
	f.T.Helper()
	f.holds("dead", 1, 0)
	m := f.b.TakeMessages("dead")[0]
	if got, _ := m.Props.Header("x-thymechute-reason").(string); m.Props.Text(broker.MessageID) != key || !strings.Contains(got, reason) {
		f.T.Errorf("dead letter %q because %q, want %q because %q", m.Props.Text(broker.MessageID), got, key, reason)
	}
}

// started waits for a start of that body, and tells the task.
func (f *fed) started(want string) (task string) {
	f.T.Helper()
	task, got := f.Runtime.ExpectCommand("start")
	if got != want {
		f.T.Fatalf("started %q, want %q", got, want)
	}
	return task
}

// last sees one more message through: whatever was started before it would come first.
func (f *fed) last(index int) {
	f.T.Helper()
	f.put("trace", "", "the last")
	f.Runtime.End(index, f.started("the last"), "good", "")
	f.settled()
}

func TestMessageIsServedRepliedToAndAcked(t *testing.T) {
	f := feed(t, "", "", nil)
	f.with(broker.Props{broker.Type: "trace", broker.ReplyTo: "replies", broker.CorrelationID: "c7"}, "body\x00\xff")
	f.Runtime.End(1, f.started("body\x00\xff"), "good", "result\x00")
	f.settled()
	f.holds("replies", 1, 0)
	m := f.b.TakeMessages("replies")[0]
	if string(m.Body) != "result\x00" || m.Props.Text(broker.CorrelationID) != "c7" || m.Props.Header("x-thymechute-outcome") != "fulfilled" {
		t.Errorf("%q %v", m.Body, m.Props)
	}
}

func TestLostAckOfAnExcursionRunsItOnce(t *testing.T) {
	f := feed(t, "", "", nil, "settle:1:drop-cut")
	f.put("excursion", "k1", "a")
	f.Runtime.End(1, f.started("a"), "good", "once")
	f.seen("ack-dropped", 1)
	f.seen("acked", 1) // by the kept result, on the next connection
	f.last(2)
}

func TestConnectionThatDiesMidBatch(t *testing.T) {
	f := feed(t, `least-credit="8" most-credit="8"`, "", nil)
	f.put("excursion", "k1", "a")
	first := f.started("a")
	f.put("seal", "", "b")
	second := f.started("b")
	f.put("excursion", "k2", "c")
	third := f.started("c")
	f.b.CutNewest()
	f.seen("delivered", 6) // all three again, on another connection, where the same tags name other messages
	f.dead("", "may have run already")
	f.Runtime.End(1, third, "good", "")
	f.Runtime.End(2, second, "good", "") // its caller is gone, and its message dead-lettered: nothing comes of it
	f.Runtime.End(3, first, "good", "")
	f.last(4)
	if f.b.EventCount("unknown-tag") != 0 {
		t.Error("a tag of the old connection was settled on the new one")
	}
	if f.b.EventCount("acked") != 4 {
		t.Errorf("%d acked, want 4", f.b.EventCount("acked"))
	}
}

// Nobody waits for what came on a dead connection: a pure run is stopped, and what is handed out again runs anew.
func TestPureRunOfADeadConnectionIsStopped(t *testing.T) {
	f := feed(t, "", "", nil)
	f.put("trace", "", "a")
	first := f.started("a")
	f.b.CutNewest()
	if task, _ := f.Runtime.ExpectCommand("stop"); task != first {
		t.Errorf("stopped %s, want %s", task, first)
	}
	f.Runtime.End(1, first, "cut", "")
	f.Runtime.End(2, f.started("a"), "good", "")
	f.settled()
}

// To an instance that knows nothing of it, a redelivered message may have run.
func TestRedeliveredToAColdInstanceIsNotRun(t *testing.T) {
	f := feed(t, "", "", nil)
	f.put("excursion", "k1", "a")
	f.started("a")
	_ = f.Program.Cmd.Process.Kill()
	f.Program.Exit()
	f.live("new", 0)
	f.dead("k1", "may have run already")
	f.last(1)
}

// The broker hands it to another instance while the first still runs it: two instances, one run.
func TestRedeliveredToAnotherInstanceWhileItRuns(t *testing.T) {
	f := feed(t, "", "", nil)
	f.put("excursion", "k1", "a")
	task := f.started("a")
	other := testutil.NewEnvironment(t, func(given map[string]any) { given["name"] = "n4" })
	other.Program = testutil.StartWith(t, other.Config, nil, "--settings", f.settings)
	other.Runtime.Sync(0, "new", 0)
	f.seen("consumed", 2)
	f.b.CutPeer("n3")
	f.dead("k1", "may have run already")
	f.Runtime.End(1, task, "good", "")
	f.seen("consumed", 3)
	f.b.CutPeer("n4")
	other.Program.Term() // its stand-in fails on any start
	other.Program.EndsWith(0)
	f.last(2)
}

func TestHandedOutTwiceAtOnceRunsOnce(t *testing.T) {
	f := feed(t, "", "", nil, "deliver:1:twice")
	f.put("excursion", "k1", "a")
	task := f.started("a")
	f.seen("delivered", 2)
	f.Runtime.End(1, task, "good", "")
	f.seen("acked", 2)
	f.last(2)
}

func TestBlockedBrokerPausesAndGoesOn(t *testing.T) {
	f := feed(t, "", "", nil, "deliver:1:block")
	f.put("trace", "", "a")
	task := f.started("a")
	f.seen("cancelled", 1)
	f.put("trace", "", "b")
	f.holds("readings", 1, 1)
	f.Runtime.End(1, task, "good", "")
	f.b.Release()
	f.Runtime.End(2, f.started("b"), "good", "")
	f.settled()
}

// The broker behind TLS, with a login of its own; a certificate of another name is refused.
func TestBrokerBehindTLS(t *testing.T) {
	f := feed(t, "", "", nil) // its own connection goes first
	f.Program.Term()
	f.Program.Exit()
	folder := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	form := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"broker"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	raw, err := x509.CreateCertificate(rand.Reader, form, form, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	front, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Close() })
	go func() {
		for {
			c, err := front.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", f.address)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(to, c); to.Close() }()
			go func() { _, _ = io.Copy(c, to); c.Close() }()
		}
	}()
	put := func(name string, text []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	ca, login := put("ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})), put("login", []byte("reader:a very secret word\n"))
	for _, name := range []string{"another", "broker"} {
		f.settings = put("tls.xml", fmt.Appendf(nil, `<thymechute xmlns="urn:thymechute:operator:1"><amqp><broker address="%s"/><login file="%s"/>`+
			`<tls ca="%s" name="%s"/><queue name="readings" dead-letter="given-up"/></amqp></thymechute>`, front.Addr(), login, ca, name))
		f.live("old", 1000)
		if name == "another" {
			testutil.Eventually(t, "the certificate is refused", func() bool { return strings.Contains(f.Program.Log(), "not another") })
			if strings.Contains(f.Program.Log(), "secret") {
				t.Error("the log tells a credential")
			}
			f.Program.Term()
			f.Program.Exit()
		}
	}
	f.put("trace", "", "a")
	f.Runtime.End(1, f.started("a"), "good", "")
	f.settled()
}

func TestRedeliveredIsRunWhereTheQueueProvesThatItDidNot(t *testing.T) {
	f := feed(t, "", `redelivered="run"`, nil, "deliver:1:cut-after", "deliver:3:cut-after")
	f.put("excursion", "k1", "a")
	task := f.started("a") // of the first delivery or the second: one run of the two
	f.seen("delivered", 2)
	f.Runtime.End(1, task, "good", "")
	f.settled()
	f.put("seal", "", "b") // effectful: never
	f.seen("delivered", 4)
	f.seen("acked", 2)
}

func TestWhatCantBeReadIsDeadLetteredAtOnce(t *testing.T) {
	f := feed(t, `largest-body="100"`, "", nil)
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
		f.with(c.p, "x")
		f.dead(c.p.Text(broker.MessageID), c.reason)
	}
	f.with(broker.Props{broker.Type: "trace", broker.MessageID: "big"}, strings.Repeat("x", 9000))
	f.dead("big", "") // by the queue's own exchange: its body was never held here
	f.last(1)
}

func TestTwoMessagesUnderOneKey(t *testing.T) {
	f := feed(t, "", "", nil)
	f.put("excursion", "k1", "a")
	task := f.started("a")
	f.put("excursion", "k1", "another")
	f.dead("k1", "another message stands under the same key")
	f.put("excursion", "k1", "a") // the same one joins
	f.seen("delivered", 3)
	f.Runtime.End(1, task, "good", "")
	f.last(2)
}

func TestPatienceThatIsOver(t *testing.T) {
	f := feed(t, "", "", nil)
	f.with(broker.Props{broker.Type: "trace", broker.MessageID: "old", broker.Expiration: "1000", broker.Timestamp: uint64(time.Now().Unix() - 60)}, "x")
	f.dead("old", "its patience is over")
	f.with(broker.Props{broker.Type: "trace", broker.Expiration: "20000", broker.Timestamp: uint64(time.Now().Unix() + 3600)}, "ahead") // a clock that is wrong
	f.Runtime.End(1, f.started("ahead"), "good", "")
	f.settled()
}

// Where the module turns back, the message is its queue's again, as a copy that counts; and it is not looped for ever.
func TestTurnedBackIsReturnedAFewTimes(t *testing.T) {
	f := feed(t, `returns="2"`, "", func(given map[string]any) {
		d := given["settings"].(map[string]any)["domain"].(map[string]any)
		d["ram_kb"], d["entry_kb"] = 50, 100 // no receipt fits
	})
	f.put("excursion", "k1", "a")
	f.dead("k1", "turned back 3 times")
	if n := f.b.EventCount("requeued"); n != 0 {
		t.Errorf("%d given back as redelivered: another instance would take them for run", n)
	}
	f.last(1)
}

func TestReplyQueueThatIsGoneAndConfirmsThatComeLateOrNever(t *testing.T) {
	f := feed(t, "", "", nil, "publish:2:late-confirm", "publish:3:no-confirm")
	f.with(broker.Props{broker.Type: "excursion", broker.MessageID: "k1", broker.ReplyTo: "nowhere"}, "a")
	f.Runtime.End(1, f.started("a"), "good", "")
	f.settled() // its caller is gone
	f.with(broker.Props{broker.Type: "excursion", broker.MessageID: "k2", broker.ReplyTo: "replies"}, "b")
	f.Runtime.End(2, f.started("b"), "good", "r")
	f.holds("replies", 1, 0)
	if f.b.QueueState("readings").Unacked != 1 {
		t.Error("acked before the reply was confirmed")
	}
	f.b.Release()
	f.settled()
	f.with(broker.Props{broker.Type: "excursion", broker.MessageID: "k3", broker.ReplyTo: "replies"}, "c")
	f.Runtime.End(3, f.started("c"), "good", "r")
	f.seen("lost", 1) // a broker that never confirms is given up, and the kept result goes out again
	f.settled()
	f.last(4)
}

func TestDeadLetterThatNothingTakesStaysTheBrokers(t *testing.T) {
	f := feed(t, patient, "", nil, "publish:1:refuse", "publish:2:channel-error")
	f.put("colour", "m", "x")
	f.seen("requeued", 1)
	f.dead("m", "unknown class")
	f.last(1)
	if requeued, lost := f.b.EventCount("requeued"), f.b.EventCount("lost"); requeued != 2 || lost != 0 {
		t.Errorf("%d given back, %d connections lost: a closed channel must cost its publishes only", requeued, lost)
	}
}

func TestLeaveSettlesAllAndClosesInOrder(t *testing.T) {
	f := feed(t, `least-credit="8"`, "", nil)
	f.put("excursion", "k1", "a")
	task := f.started("a")
	f.Program.Term()
	f.seen("cancelled", 1)
	f.put("trace", "", "too late") // no consumer: it stays where it is
	f.Runtime.End(1, task, "good", "")
	f.Program.EndsWith(0)
	f.holds("readings", 1, 0)
	if acked, back := f.b.EventCount("acked"), f.b.EventCount("requeued"); acked != 1 || back != 0 {
		t.Errorf("%d acked, %d given back", acked, back)
	}
}

// A leaving instance waits for the confirm of a reply, so that its message is acked and not handed out again.
func TestLeaveWaitsForConfirms(t *testing.T) {
	f := feed(t, `confirm-s="5"`, "", nil, "publish:1:late-confirm")
	f.with(broker.Props{broker.Type: "seal", broker.ReplyTo: "replies"}, "a")
	task := f.started("a")
	f.Program.Term()
	f.Runtime.End(1, task, "good", "")
	f.holds("replies", 1, 0)
	select {
	case code := <-f.Program.Exited:
		t.Fatalf("ended with %d and left a message unsettled", code)
	case <-time.After(time.Second): // over the grace and the rest that ends it where nothing is owed
	}
	f.b.Release()
	f.Program.EndsWith(0)
	testutil.Eventually(t, "the ack is read", func() bool { return f.b.EventCount("acked") == 1 }) // the program does not wait for that
}

// What a broker pushes after the grace is not run, though it goes on pushing: it is the broker's again, as unrun.
func TestPushedAfterTheGraceIsNotRun(t *testing.T) {
	f := feed(t, `confirm-s="2" returns="0"`, "", nil, "cancel:1:ignore")
	f.put("seal", "", "a")
	task := f.started("a")
	f.Program.Term()
	f.seen("fault", 1)
	time.Sleep(400 * time.Millisecond) // the grace of 0.3 s is over
	f.put("seal", "", "too late")
	f.seen("delivered", 3) // it comes straight back, once
	f.Runtime.End(1, task, "good", "")
	f.seen("acked", 2) // the one that ran, and the one that was given back as a copy
	f.Program.EndsWith(0)
	f.holds("readings", 1, 0)
	if n := f.b.EventCount("delivered"); n != 3 {
		t.Errorf("%d deliveries: it goes round and round", n)
	}
}

func TestBrokerThatUsesOneTagTwiceIsLeft(t *testing.T) {
	f := feed(t, "", "", nil, "deliver:1:same-tag")
	f.put("excursion", "k1", "a")
	f.seen("lost", 1)
	f.put("trace", "", "b")
	for n := 1; ; n++ {
		task, got := f.Runtime.ExpectCommand("start")
		if f.Runtime.End(n, task, "good", ""); got == "b" {
			break
		}
	}
	f.settled()
}

func TestRuntimeThatIsDownLeavesMessagesWithTheBroker(t *testing.T) {
	f := feed(t, "", "", nil)
	f.seen("consumed", 1)
	f.Runtime.Break()
	f.Runtime.Accept() // a link, but not yet an answer to its sync
	f.seen("cancelled", 1)
	f.put("trace", "", "x")
	f.holds("readings", 1, 0)
	f.Runtime.Send(`{"verb":"ready","outcome":"old","spent":99999}` + "\n")
	f.Runtime.Until("gauges", "sync2")
	f.Runtime.Send(`{"verb":"load","nonce":"sync2","readings":[0.1,0]}` + "\n")
	f.Runtime.End(1, f.started("x"), "good", "")
	f.settled()
}

// Whatever the broker does costs its own connection: the other front serves on, and the message is served in the end.
func TestBrokerThatIsOutOfItsSenses(t *testing.T) {
	for _, do := range []string{"deliver:1:nonsense", "deliver:1:huge", "deliver:1:endless", "deliver:1:foreign", "deliver:1:mute",
		"deliver:1:cut-inside", "deliver:1:cut-before", "deliver:1:restart", "deliver:1:cancel", "deliver:1:channel-error",
		"deliver:1:stop-reading", "login:1:nonsense", "login:1:cut", "consume:1:cut", "heartbeat:1:mute"} {
		t.Run(do, func(t *testing.T) {
			f := feed(t, "", "", nil, do)
			s := f.Stub()
			s.Ask(1, "trace", "aa01", body, "")
			f.put("excursion", "k1", "a") // unknown to this instance after a redelivery: not run, but not lost
			started, got := f.Runtime.ExpectCommand("start")
			for n := 1; got != body; n++ {
				f.Runtime.End(n, started, "good", "")
				started, got = f.Runtime.ExpectCommand("start")
			}
			f.Runtime.End(9, started, "good", result)
			s.Wants(1, 0, result)
			f.seen("fault", 1)
			f.b.Release()
			f.put("trace", "", "b")
			for {
				task, got := f.Runtime.ExpectCommand("start")
				f.Runtime.End(int(time.Now().UnixMicro()%1e9)+10, task, "good", "")
				if got == "b" {
					break
				}
			}
			f.settled()
		})
	}
}

func TestRefusedLoginIsSaidOnceAndNothingElseSuffers(t *testing.T) {
	f := feed(t, "", "", nil, "login:1+1:refuse")
	s := f.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	f.Runtime.End(1, f.started(body), "good", result)
	s.Wants(1, 0, result)
	f.seen("lost", 1)
	testutil.Eventually(t, "the log names the refusal", func() bool { return strings.Contains(f.Program.Log(), "broker 1 lost") })
	if log := f.Program.Log(); strings.Count(log, "lost:") != 1 || strings.Contains(log, "guest") {
		t.Error(log)
	}
}
