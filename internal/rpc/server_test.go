package rpc

import (
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

type fakeAdmission struct{ admitted, callersGone int }

func (a *fakeAdmission) HasClass(class string) bool { return class == "excursion" }
func (a *fakeAdmission) Admit(node.Responder, node.MessageID, node.Request) error {
	a.admitted++
	return nil
}
func (a *fakeAdmission) CallerGone(node.Responder)                                         { a.callersGone++ }
func (a *fakeAdmission) CheckHealth(node.Responder, node.MessageID, node.HealthCheckDepth) {}

// newTestServer returns a server with one spare connection.
func newTestServer(admission Admission, maxConns int) *Server {
	return NewServer(Config{Admission: admission, MaxConns: maxConns, SpareConns: 1, Log: zap.NewNop()})
}

func TestIdleTimeoutDoesNotCloseConnectionsWithPendingRequests(t *testing.T) {
	admission := &fakeAdmission{}
	server := newTestServer(admission, 2)
	busyTransport := &testutil.FakeConn{}
	idleTransport := &testutil.FakeConn{}
	busyConn := server.Accept()
	idleConn := server.Accept()
	busyConn.Opened(busyTransport)
	idleConn.Opened(idleTransport)
	if err := busyConn.Received([]byte(requestLine + "\n")); err != nil || admission.admitted != 1 {
		t.Fatalf("%v, %d admitted", err, admission.admitted)
	}
	server.SetIdleTimeout(time.Second)
	server.Sweep(time.Now().Add(2 * time.Second))
	if idleTransport.Closed || idleTransport.Out != string(closingNotification) || busyTransport.Out != "" {
		t.Errorf("idle closed %v without a grace period after its notification %q; busy was sent %q",
			idleTransport.Closed, idleTransport.Out, busyTransport.Out)
	}
	server.Sweep(time.Now().Add(3 * time.Second))
	if busyTransport.Closed || !idleTransport.Closed {
		t.Errorf("busy closed %v, idle closed %v", busyTransport.Closed, idleTransport.Closed)
	}
	busyConn.(*conn).Answer("7", node.Answer{})
	server.Sweep(time.Now().Add(4 * time.Second))
	if busyTransport.Closed || !strings.HasSuffix(busyTransport.Out, string(closingNotification)) {
		t.Errorf("closed %v without a notification before: %q", busyTransport.Closed, busyTransport.Out)
	}
	if err := busyConn.Received([]byte(requestLine + "\n")); err != nil || admission.admitted != 2 { // in transit at the notification
		t.Fatalf("%v, %d admitted", err, admission.admitted)
	}
	server.Sweep(time.Now().Add(6 * time.Second))
	if busyTransport.Closed {
		t.Error("closed despite a request that was in transit at the notification")
	}
	busyConn.(*conn).Answer("7", node.Answer{})
	server.Sweep(time.Now().Add(8 * time.Second))
	if !busyTransport.Closed {
		t.Error("an idle connection without pending requests stayed open")
	}
}

// At the limit the least needed connection is sent a closing notification, and its requests in transit are admitted. Only when
// the spare connections are in use as well is one closed at once, and never one with a pending request.
func TestConnectionLimitNotifiesLeastNeededFirst(t *testing.T) {
	admission := &fakeAdmission{}
	server := newTestServer(admission, 2)
	open := func() (loop.ServerHandler, *testutil.FakeConn) {
		handler := server.Accept()
		transport := &testutil.FakeConn{}
		if handler != nil {
			handler.Opened(transport)
		}
		return handler, transport
	}
	usedHandler, usedTransport := open()
	_ = usedHandler.Received([]byte(requestLine + "\n"))
	usedHandler.(*conn).Answer("7", node.Answer{})
	usedTransport.Out = ""
	silentHandler, silentTransport := open()
	_, unusedTransport := open()
	if silentTransport.Out != string(closingNotification) || silentTransport.Closed || usedTransport.Out+unusedTransport.Out != "" {
		t.Errorf("sent %q, closed %v; others were sent %q", silentTransport.Out, silentTransport.Closed, usedTransport.Out+unusedTransport.Out)
	}
	if err := silentHandler.Received([]byte(requestLine + "\n")); err != nil || admission.admitted != 2 { // in transit at the notification
		t.Fatalf("%v, %d admitted", err, admission.admitted)
	}
	lastHandler, lastTransport := open() // the spare connection is in use: closes the idle connection that never sent a request
	if !unusedTransport.Closed || silentTransport.Closed || usedTransport.Closed || lastHandler == nil || lastTransport.Out != "" {
		t.Errorf("closed %v, %v and %v", usedTransport.Closed, silentTransport.Closed, unusedTransport.Closed)
	}
	for handler, id := range map[loop.ServerHandler]string{usedHandler: "8", lastHandler: "8"} {
		if err := handler.Received([]byte(strings.Replace(requestLine, `"id":7`, `"id":`+id, 1) + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if handler, _ := open(); handler != nil {
		t.Error("accepted over the limit while all connections had pending requests")
	}
	silentHandler.(*conn).Answer("7", node.Answer{})
	server.Sweep(time.Now().Add(time.Second))
	if server.notifiedConns != 0 || len(server.conns) != 2 || !silentTransport.Closed {
		t.Errorf("%d of %d connections notified, the one notified first closed %v",
			server.notifiedConns, len(server.conns), silentTransport.Closed)
	}
}

func TestStalledConnectionsAreClosed(t *testing.T) {
	server := newTestServer(&fakeAdmission{}, 9)
	now := time.Now()
	for name, input := range map[string]string{
		"silent":               "",
		"partial request":      requestLine[:50],
		"complete and partial": requestLine + "\n" + requestLine[:50],
		"complete":             requestLine + "\n",
	} {
		handler := server.Accept()
		transport := &testutil.FakeConn{}
		handler.Opened(transport)
		if err := handler.Received([]byte(input)); err != nil {
			t.Fatal(err)
		}
		server.nextSweep = time.Time{}
		if transport.Closed {
			t.Errorf("%s: closed at once", name)
		}
		for sweep := range 4 { // further bytes of an incomplete message don't extend its timeout
			if name != "complete" && name != "silent" {
				_ = handler.Received([]byte(" "))
			}
			server.Sweep(now.Add(requestTimeout*time.Duration(sweep+1)/2 + 10*time.Millisecond))
			server.nextSweep = time.Time{}
			isNotified := strings.HasSuffix(transport.Out, string(closingNotification))
			wantNotified := name != "complete" && sweep > 0
			if isNotified != wantNotified || transport.Closed && sweep < 2 {
				t.Errorf("%s, sweep %d: notified %v, closed %v", name, sweep, isNotified, transport.Closed)
			}
		}
		if transport.Closed != (name != "complete") {
			t.Errorf("%s: closed %v", name, transport.Closed)
		}
	}
}

func TestPendingRequestsPerConnectionAreBounded(t *testing.T) {
	admission := &fakeAdmission{}
	transport := &testutil.FakeConn{}
	handler := newTestServer(admission, 2).Accept()
	handler.Opened(transport)
	for n := range maxPendingRequests + 1 {
		if err := handler.Received([]byte(strings.Replace(requestLine, `"id":7`, fmt.Sprintf(`"id":%d`, n), 1) + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if admission.admitted != maxPendingRequests || len(transport.Out) == 0 {
		t.Errorf("%d admitted, answered %s", admission.admitted, transport.Out)
	}
	handler.Closed(&loop.ConnError{Connected: true, Err: errors.New("reset")})
	if admission.callersGone != 1 {
		t.Error("CallerGone was not called")
	}
}
