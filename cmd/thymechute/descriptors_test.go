package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymechute/internal/testutil"
)

const (
	fewSockets  = 128
	idleClients = 4 * fewSockets
	askDeadline = 2 // seconds
	// An entry at the catalog lasts 3 s; reports go out ten times in that.
	reportWithin = 3 * time.Second
)

// idle opens a connection that stays and takes no notice of notices; every second one has brought a whole request, so that
// it does not count as stalled.
func idle(t *testing.T, w *testutil.Environment, n int) {
	t.Helper()
	c, err := net.DialTimeout("tcp", w.Listen, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if n%2 == 0 {
		_, _ = fmt.Fprintln(c, `{"jsonrpc":"2.0","id":1,"method":"check"}`)
	}
}

// serves asks on a new connection, which has to be answered within the class's deadline.
func serves(t *testing.T, w *testutil.Environment, notice *int, rid string) {
	t.Helper()
	began := time.Now()
	s := w.Stub()
	s.Ask(1, "trace", rid, body, "")
	w.Runtime.Until("start", rid)
	*notice++
	w.Runtime.End(*notice, rid, "good", result)
	s.Wants(1, 0, result)
	if took := time.Since(began); took > askDeadline*time.Second {
		t.Errorf("%s: answered after %v, its deadline is %d s", rid, took, askDeadline)
	}
	s.Conn.Close()
}

// Idle clients fill the descriptors while the catalog is away: four times as many as the process may have, and it may have no
// more than limits.sockets (the system holds it to that). A request on a new connection is served in its time, the call at the
// index and the link to the runtime that stood before go on, a new call is made, and the catalog that is back hears a report
// though the clients are still there.
func TestIdleClientsFillTheDescriptorsWhileTheCatalogIsAway(t *testing.T) {
	w := testutil.NewEnvironment(t, func(given map[string]any) {
		given["limits"].(map[string]any)["sockets"] = fewSockets
		trace := given["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)
		trace["aim_s"], trace["deadline_s"] = askDeadline, askDeadline
	})
	catalog := w.Catalog.LocalAddr().String()
	w.Catalog.Close() // each report from now on is refused, and costs its socket
	w.Program = testutil.Start(t, w.Config)
	limit := unix.Rlimit{Cur: fewSockets, Max: fewSockets}
	if err := unix.Prlimit(w.Program.Cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	w.Runtime.Sync(0, "new", 0)
	standing := w.AtCall("standing", body)
	notice := 1
	for n := range idleClients {
		idle(t, w, n)
		if n%64 == 63 {
			serves(t, w, &notice, fmt.Sprint("among", n))
		}
	}
	filled(t, w)
	serves(t, w, &notice, "full")

	w.Index.Send("standing HIT %d\r\n%s\r\n", len(reply), reply)
	w.Runtime.Until("give", "standing")
	notice++
	w.Runtime.End(notice, "standing", "good", result)
	standing.Wants(1, 0, result)
	w.Index.Break() // the next call needs a descriptor
	s := w.Stub()
	s.Ask(1, "seal", "called", body, "")
	w.Runtime.Until("start", "called")
	notice++
	w.Runtime.RequestCall(notice, "called", "call")
	w.Index.Accept()
	w.Index.ExpectCall()
	w.Index.Send("called HIT %d\r\n%s\r\n", len(reply), reply)
	w.Runtime.Until("give", "called")
	notice++
	w.Runtime.End(notice, "called", "good", result)
	s.Wants(1, 0, result)

	back, err := net.ListenPacket("udp", catalog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { back.Close() })
	_ = back.SetReadDeadline(time.Now().Add(reportWithin))
	word := make([]byte, 100)
	n, _, err := back.ReadFrom(word)
	if err != nil || string(word[:n]) != "alive n3 passing" {
		t.Errorf("the catalog that is back heard %q (%v)", word[:n], err)
	}
	filled(t, w)
}

// filled fails unless the idle clients hold what stubs may hold.
func filled(t *testing.T, w *testutil.Environment) {
	t.Helper()
	places := stubParts * ((fewSockets - own) / 8)
	open := w.Program.Descriptors()
	if t.Logf("%d of %d descriptors open", open, fewSockets); open < places {
		t.Errorf("only %d of %d descriptors are open, the stubs' places are %d: nothing was filled", open, fewSockets, places)
	}
}
