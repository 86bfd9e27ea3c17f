package rpc

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/internal/testutil"
)

var (
	receivedAtMillis = time.Now().UnixMilli()
	requestLine      = fmt.Sprintf(`{"jsonrpc":"2.0","id":7,"method":"excursion","params":{"rid":"9b1f","t0":%d,"peer":4,`+
		`"acct":"acme","again":1,"mem":24.5,"prio":0.6250,"token":"5c0f","obj":"7f3a","doc":"AP8="}}`, receivedAtMillis)
)

func TestDecodeAcceptsFieldsInAnyOrder(t *testing.T) {
	want := node.Request{ID: "9b1f", Class: "excursion", Tenant: "acme", Key: "5c0f", Subject: "7f3a",
		ReceivedAt: time.UnixMilli(receivedAtMillis), Caller: 4, Retry: true, MemoryKB: 24.5, Priority: 0.625, Body: []byte{0, 255}}
	turned := `{"params":{"doc":"AP8=","x":[{}],"obj":"7f3a","token":"5c0f","prio":0.6250,"mem":24.5,"again":true,` +
		`"acct":"ac\u006de","peer":4,"t0":` + fmt.Sprint(receivedAtMillis) + `,"rid":"9b1f"},"method":"excursion","more":null,"id":7,"jsonrpc":"2.0"}`
	for _, ask := range []string{requestLine, turned} {
		q, err := Decode([]byte(ask))
		got, body := q.Request, string(q.Request.Body)
		got.Body = nil
		if err != nil || q.ID != "7" || q.IsHealthCheck || body != string(want.Body) || !got.ReceivedAt.Equal(want.ReceivedAt) ||
			got.ID != want.ID || got.Class != want.Class || got.Tenant != want.Tenant || got.Key != want.Key ||
			got.Subject != want.Subject || got.Caller != 4 || !got.Retry || got.MemoryKB != 24.5 || got.Priority != 0.625 {
			t.Errorf("%v: %+v", err, q)
		}
	}
}

func TestAppendResponseEncodesStatus(t *testing.T) {
	for want, a := range map[string]node.Answer{
		`{"jsonrpc":"2.0","id":7,"result":{"doc":"AP8=","hint":0.25}}`: {Status: node.Served, Result: []byte{0, 255}, Advertised: 0.25},
		`{"jsonrpc":"2.0","id":7,"result":{"doc":""}}`:                 {Status: node.Served, Advertised: -1},
		`{"jsonrpc":"2.0","id":7,"error":{"code":-32001,"message":"overloaded","data":{"backoff":251,"final":1,"hint":0}}}`: {
			Status: node.Rejected, RetryAfter: 250*time.Millisecond + 1, NoRetryElsewhere: true},
		`{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"failed"}}`: {
			Status: node.Failed, RetryAfter: time.Second, NoRetryElsewhere: true, Advertised: -1},
	} {
		got := string(AppendResponse(nil, "7", a))
		if got != want+"\n" || !json.Valid([]byte(got)) {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

type fakeAdmission struct{ admitted, callersGone int }

func (d *fakeAdmission) HasClass(class string) bool                       { return class == "excursion" }
func (d *fakeAdmission) Admit(node.Responder, string, node.Request) error { d.admitted++; return nil }
func (d *fakeAdmission) CallerGone(node.Responder)                        { d.callersGone++ }
func (d *fakeAdmission) CheckHealth(node.Responder, string, bool)         {}

func TestIdleTimeoutSparesConnectionsWithPendingRequests(t *testing.T) {
	d := &fakeAdmission{}
	f := NewServer(d, 2, 1, zap.NewNop())
	busy, idle := &testutil.FakeConn{}, &testutil.FakeConn{}
	one, two := f.Accept(), f.Accept()
	one.Opened(busy)
	two.Opened(idle)
	if err := one.Received([]byte(requestLine + "\n")); err != nil || d.admitted != 1 {
		t.Fatalf("%v, %d asked", err, d.admitted)
	}
	f.SetIdleTimeout(time.Second)
	f.Sweep(time.Now().Add(2 * time.Second))
	if idle.Closed || idle.Out != string(closingNotification) || busy.Out != "" {
		t.Errorf("idle closed %v without time for what crosses its notice %q; busy was told %q", idle.Closed, idle.Out, busy.Out)
	}
	f.Sweep(time.Now().Add(3 * time.Second))
	if busy.Closed || !idle.Closed {
		t.Errorf("busy closed %v, idle closed %v", busy.Closed, idle.Closed)
	}
	one.(*conn).Answer("7", node.Answer{})
	f.Sweep(time.Now().Add(4 * time.Second))
	if busy.Closed || !strings.HasSuffix(busy.Out, string(closingNotification)) {
		t.Errorf("closed %v without a notice before: %q", busy.Closed, busy.Out)
	}
	if err := one.Received([]byte(requestLine + "\n")); err != nil || d.admitted != 2 { // it crosses the notice
		t.Fatalf("%v, %d asked", err, d.admitted)
	}
	f.Sweep(time.Now().Add(6 * time.Second))
	if busy.Closed {
		t.Error("closed over a request that crossed the notice")
	}
	one.(*conn).Answer("7", node.Answer{})
	f.Sweep(time.Now().Add(8 * time.Second))
	if !busy.Closed {
		t.Error("an answered connection stays open")
	}
}

// At the limit the one that is needed least gets its notice, and what crosses that is taken; only with the spare places
// taken as well one ends at once, and never one with a request open.
func TestConnectionLimitNotifiesLeastNeededFirst(t *testing.T) {
	d := &fakeAdmission{}
	f := NewServer(d, 2, 1, zap.NewNop())
	open := func() (loop.ServerHandler, *testutil.FakeConn) {
		p, w := f.Accept(), &testutil.FakeConn{}
		if p != nil {
			p.Opened(w)
		}
		return p, w
	}
	used, first := open()
	_ = used.Received([]byte(requestLine + "\n"))
	used.(*conn).Answer("7", node.Answer{})
	first.Out = ""
	silent, second := open()
	_, third := open()
	if second.Out != string(closingNotification) || second.Closed || first.Out+third.Out != "" {
		t.Errorf("told %q, closed %v; others told %q", second.Out, second.Closed, first.Out+third.Out)
	}
	if err := silent.Received([]byte(requestLine + "\n")); err != nil || d.admitted != 2 { // it crosses the notice
		t.Fatalf("%v, %d asked", err, d.admitted)
	}
	fourth, w := open() // the spare place is taken: of those with nothing open the one that brought nothing ends
	if !third.Closed || second.Closed || first.Closed || fourth == nil || w.Out != "" {
		t.Errorf("closed %v, %v and %v", first.Closed, second.Closed, third.Closed)
	}
	for p, id := range map[loop.ServerHandler]string{used: "8", fourth: "8"} {
		if err := p.Received([]byte(strings.Replace(requestLine, `"id":7`, `"id":`+id, 1) + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if p, _ := open(); p != nil {
		t.Error("taken beyond all places, which are all in use")
	}
	silent.(*conn).Answer("7", node.Answer{})
	f.Sweep(time.Now().Add(time.Second))
	if f.notifiedConns != 0 || len(f.conns) != 2 || !second.Closed {
		t.Errorf("%d with a notice of %d, the first of them closed %v", f.notifiedConns, len(f.conns), second.Closed)
	}
}

func TestStalledConnectionsAreClosed(t *testing.T) {
	f := NewServer(&fakeAdmission{}, 9, 1, zap.NewNop())
	now := time.Now()
	for what, part := range map[string]string{"silent": "", "half a request": requestLine[:50], "whole and half": requestLine + "\n" + requestLine[:50], "whole": requestLine + "\n"} {
		p, w := f.Accept(), &testutil.FakeConn{}
		p.Opened(w)
		if err := p.Received([]byte(part)); err != nil {
			t.Fatal(err)
		}
		if f.nextSweep = (time.Time{}); w.Closed {
			t.Errorf("%s: closed at once", what)
		}
		for more := range 4 { // a byte now and then makes nothing whole
			if what != "whole" && what != "silent" {
				_ = p.Received([]byte(" "))
			}
			f.Sweep(now.Add(requestTimeout*time.Duration(more+1)/2 + 10*time.Millisecond))
			f.nextSweep = time.Time{}
			if told := strings.HasSuffix(w.Out, string(closingNotification)); told != (what != "whole" && more > 0) || w.Closed && more < 2 {
				t.Errorf("%s, sweep %d: told %v, closed %v", what, more, told, w.Closed)
			}
		}
		if w.Closed != (what != "whole") {
			t.Errorf("%s: closed %v", what, w.Closed)
		}
	}
}

func TestPendingRequestsPerConnectionAreBounded(t *testing.T) {
	d, w := &fakeAdmission{}, &testutil.FakeConn{}
	p := NewServer(d, 2, 1, zap.NewNop()).Accept()
	p.Opened(w)
	for n := range maxPendingRequests + 1 {
		if err := p.Received([]byte(strings.Replace(requestLine, `"id":7`, fmt.Sprintf(`"id":%d`, n), 1) + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d.admitted != maxPendingRequests || len(w.Out) == 0 {
		t.Errorf("%d taken, answered %s", d.admitted, w.Out)
	}
	p.Closed(&loop.ConnError{Connected: true, Err: errors.New("reset")})
	if d.callersGone != 1 {
		t.Error("the admission was not told that the callers are gone")
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{requestLine, `{"jsonrpc":"2.0","id":"x","method":"check","params":{"full":true}}`, `{"id":1,"method":5}`, `{"id":00`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		q, err := Decode(text)
		if err == nil && !q.IsHealthCheck && (!isPlainID(q.Request.ID) || len(q.Request.Body) > maxBodySize || q.ID == "") {
			t.Errorf("%q was taken as %+v", text, q)
		}
		if out := AppendError(nil, q.ID, &ProtocolError{codeParseError, errors.New(string(text))}); err != nil && !json.Valid(out) {
			t.Errorf("answered with %q", out)
		}
	})
}
