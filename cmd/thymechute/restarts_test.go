package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

const (
	manyTenants  = 60000
	manyRestarts = 10
	readyWithin  = 10 * time.Second
	heldRuns     = 2 // in hand at each kill
)

// work is a runtime that goes on beside the program's lives: it runs what is started, but for runs that are held.
type work struct {
	w    *testutil.Environment
	held chan string
	over chan struct{} // closed once the link of the life that runs now has broken
}

// goOn obeys this life, whose missed notices ended with this number.
func (k *work) goOn(missed int) {
	over := make(chan struct{})
	k.over = over
	go func() {
		defer close(over)
		k.w.Runtime.ServeAllExcept(missed+1, result, func(task string) bool {
			held := strings.HasPrefix(task, "held")
			if held {
				k.held <- task
			}
			return held
		})
	}()
}

// press keeps clients at it for as long as the test goes, whatever becomes of the program.
func press(w *testutil.Environment, clients int) {
	over := make(chan struct{})
	w.T.Cleanup(func() { close(over) })
	for client := range clients {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(5 * time.Millisecond):
					pressOnce(w.Listen, fmt.Sprintf("p%dx%d", client, n))
				}
			}
		}()
	}
}

// pressOnce asks on a new connection, and reads one line if one comes.
func pressOnce(address, rid string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err = fmt.Fprintln(c, testutil.AskLine(1, "trace", rid, body, "")); err == nil {
		_, _ = bufio.NewReader(c).ReadString('\n')
	}
}

// until asks again and again until an answer is the wanted one.
func until(t *testing.T, s *testutil.Stub, ask func(id int), wanted func(testutil.Reply) bool) {
	t.Helper()
	for id := 1; ; id++ {
		ask(id)
		r, closed := s.Read()
		if closed {
			t.Fatal("the connection ended over a request")
		}
		if wanted(r) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Nine in ten restarted processes have to be ready within 10 s. Here each of ten is, killed in the middle of its work beside
// a runtime that goes on, has all its cores at work and runs in hand that the next life knows nothing of; with 60,000 tenants
// in the file, and clients that ask all the while. Ready: a health check says serving, and a first request is served.
func TestTenRestartsBesideARuntimeAtWorkAreReadyInTime(t *testing.T) {
	testutil.Built(t)
	w := testutil.NewEnvironment(t, func(given map[string]any) {
		tenants := []any{map[string]any{"name": "acme", "quota_per_s": 1000}}
		for n := range manyTenants - 1 {
			tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%05d", n), "quota_per_s": 5})
		}
		given["settings"].(map[string]any)["tenants"] = tenants
	})
	text, err := json.Marshal(w.Config)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	runtime := &work{w: w, held: make(chan string, 100)}
	w.Runtime.Busy()
	w.Program = testutil.StartFrom(t, file)
	w.Runtime.Sync(0, "new", 0)
	runtime.goOn(0)
	press(w, 4)
	for life := range manyRestarts {
		for n := range heldRuns {
			w.Stub().Ask(1, "trace", fmt.Sprintf("held%dx%d", life, n), body, "")
			testutil.Next(t, runtime.held, "a start of a run to be held")
		}
		w.Program.Kill()
		testutil.Next(t, runtime.over, "the end of the link")

		began := time.Now()
		w.Program = testutil.StartFrom(t, file)
		w.Runtime.Sync(0, "old", 60000+1000*life, testutil.EndLine(1, fmt.Sprintf("held%dx0", life), "good", result))
		runtime.goOn(1)
		s := w.Stub()
		until(t, s, func(id int) { s.Send(`{"jsonrpc":"2.0","id":%d,"method":"check"}`, id) },
			func(r testutil.Reply) bool { return r.Result.Serving })
		serving := time.Since(began)
		s = w.Stub()
		until(t, s, func(id int) { s.Ask(id, "trace", fmt.Sprintf("first%dx%d", life, id), body, "") },
			func(r testutil.Reply) bool { return r.Code() == 0 && r.Doc() == result })
		served := time.Since(began)
		t.Logf("restart %d: serving after %v, a request served after %v", life, serving.Round(time.Millisecond), served.Round(time.Millisecond))
		if served > readyWithin {
			t.Errorf("restart %d: ready after %v, allowed %v", life, served, readyWithin)
		}
	}
}
