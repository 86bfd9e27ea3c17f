package rpc

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"thymechute/internal/node"
	"thymechute/internal/testutil"
)

// removedAdmission is an Admission whose class and tenant were removed, with the error for that.
type removedAdmission struct {
	fakeAdmission
	err error
}

func (a *removedAdmission) Admit(node.Responder, node.MessageID, node.Request) error { return a.err }

func requestWithID(id int) string {
	return strings.Replace(requestLine, `"id":7`, `"id":`+strconv.Itoa(id), 1) + "\n"
}

// Guards against review case 2: requests of a removed tenant counted as offences of the connection, whose other requests were then
// discarded.
func TestRemovedResourceIsNoOffence(t *testing.T) {
	for _, reason := range []error{node.ErrUnknownClass, node.ErrUnknownTenant} {
		t.Run(reason.Error(), func(t *testing.T) {
			server := newTestServer(&removedAdmission{err: &node.AdmissionError{Reason: reason}}, 2)
			handler := server.Accept()
			transport := &testutil.FakeConn{}
			handler.Opened(transport)
			for id := range 10 * maxProtocolErrors {
				receive(t, handler, requestWithID(id))
			}
			if errors := strings.Count(transport.Out, `"error"`); errors != 10*maxProtocolErrors || strings.Contains(transport.Out, "closing") {
				t.Errorf("%d error responses, want %d and no closing notification", errors, 10*maxProtocolErrors)
			}
		})
	}
}

// A connection with too many protocol errors is closed in two steps: its pending requests are served, and what is received before
// the second step is answered with an error.
func TestFaultyConnectionIsNotifiedBeforeItCloses(t *testing.T) {
	admission := &fakeAdmission{}
	server := newTestServer(admission, 2)
	c, transport := openConn(t, server, false)
	receive(t, c, requestWithID(8))
	for range maxProtocolErrors + 1 {
		receive(t, c, `{"jsonrpc":"2.0","id":1}`+"\n")
	}
	if transport.Closed || !strings.HasSuffix(transport.Out, string(closingNotification)) {
		t.Errorf("closed %v without a notification before: %q", transport.Closed, transport.Out)
	}
	receive(t, c, requestWithID(9))
	if !strings.HasSuffix(transport.Out, `"id":9,"error":{"code":-32600,"message":"over 8 protocol errors"}}`+"\n") || admission.admitted != 2 {
		t.Errorf("after the notification sent %q, %d admitted; want an error response and 2", transport.Out, admission.admitted)
	}
	server.Sweep(time.Now().Add(closingGracePeriod + sweepInterval))
	if !transport.Closed || !c.HasPending() {
		t.Errorf("closed %v with pending %v, want a close that waits for the pending response", transport.Closed, c.HasPending())
	}
}
