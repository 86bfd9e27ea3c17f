package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

func TestDrainBeforeTheRuntimeIsUp(t *testing.T) {
	w := testutil.NewEnvironment(t, nil)
	w.Program = testutil.Start(t, w.Config)
	w.Runtime.Accept()
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	s.Wants(1, -32001, "")
	w.Program.Term()
	s.Closing()
	w.Program.Term()
	w.Runtime.Send(`{"verb":"ready","outcome":"old","spent":3600000}` + "\n")
	testutil.Eventually(t, "the runtime is up", func() bool { return strings.Contains(w.Program.Log(), "runtime link established") })
	s.Ask(2, "trace", "aa02", body, "")
	s.Wants(2, -32001, "")
	s.Ends()
	s.Conn.Close()
	w.Program.EndsWith(0)
}

// slowFile is a configuration file (a named pipe) that who reads it waits for.
type slowFile struct {
	t    *testing.T
	path string
	text []byte
}

func newSlowFile(t *testing.T, given map[string]any) *slowFile {
	t.Helper()
	text, err := json.Marshal(given)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return &slowFile{t, path, text}
}

// open waits until the program has opened the file to read it. The reader finds no end before it is closed.
func (s *slowFile) open() *os.File {
	f, err := os.OpenFile(s.path, os.O_WRONLY, 0)
	if err != nil {
		s.t.Error(err)
	}
	return f
}

func (s *slowFile) fill(f *os.File) { _, _ = f.Write(s.text) }

func TestDrainInTheMiddleOfAReload(t *testing.T) {
	w := testutil.NewEnvironment(t, nil)
	file := newSlowFile(t, w.Config)
	go func() {
		f := file.open()
		file.fill(f)
		f.Close()
	}()
	w.Program = testutil.StartFrom(t, file.path)
	w.Runtime.Sync(0, "new", 0)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	_ = w.Program.Cmd.Process.Signal(syscall.SIGHUP)
	f := file.open() // the program reads, and there is no end yet
	defer f.Close()
	file.fill(f)
	w.Program.Term()
	s.Closing()
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	s.Conn.Close()
	w.Program.EndsWith(0)
}

func TestDrainRefusesWhatComesPastTheGrace(t *testing.T) {
	w := testutil.Serve(t, func(given map[string]any) {
		given["settings"].(map[string]any)["rules"].(map[string]any)["drain_grace_s"] = 0
	})
	s, other := w.Stub(), w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	other.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
	other.Read()
	w.Program.Term()
	s.Closing()
	other.Closing()
	other.Send(`{"jsonrpc":"2.0","id":2,"method":"check","params":{"full":true}}`)
	if r, closed := other.Read(); closed || r.ID != 2.0 || r.Result.Serving {
		t.Errorf("got %+v (closed %v), want a bad check", r, closed)
	}
	for id := 2; id <= 9; id++ {
		s.Ask(id, "trace", fmt.Sprintf("bb%d", id), body, "")
		s.Wants(id, -32001, "")
	}
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	other.Ends()
	other.Conn.Close()
	s.Ends()
	s.Conn.Close()
	w.Program.EndsWith(0)
}

func TestDrainWaitsForTheSlowReader(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.SlowStub()
	large := strings.Repeat("r", 4<<10)
	for id := 1; id <= 30; id++ {
		rid := fmt.Sprintf("aa%d", id)
		s.Ask(id, "trace", rid, "x", "")
	}
	started := map[string]bool{}
	for n := 1; len(started) < 30; n++ {
		task, _ := w.Runtime.ExpectCommand("start")
		started[task] = true
		w.Runtime.End(n, task, "good", large)
	}
	w.Program.Term()
	testutil.Eventually(t, "no longer listening", func() bool { return strings.Contains(w.Program.Log(), "no longer listening") })
	select {
	case <-w.Program.Exited:
		t.Fatal("ended over what nobody has read")
	case <-time.After(300 * time.Millisecond): // it would end a tenth of a second after
	}
	got := 0
	for got < 30 {
		if r, closed := s.Read(); closed {
			t.Fatalf("closed after %d answers", got)
		} else if r.Doc() == large {
			got++
		}
	}
	s.Conn.Close()
	w.Program.EndsWith(0)
}

func TestAnswersAtTheKillAreNotReset(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.ExpectCommand("start") // and never ends
	w.Program.Term()
	s.Closing()
	flood := bytes.Repeat([]byte(`{"jsonrpc":"2.0","method":"note"}`+"\n"), 1000)
	go func() {
		for err := error(nil); err == nil; {
			_, err = s.Conn.Write(flood)
		}
	}()
	s.Wants(1, -32000, "")
	s.Ends()
	s.Conn.Close()
	w.Program.EndsWith(0)
}

func TestDrainWhileStarting(t *testing.T) {
	w := testutil.NewEnvironment(t, nil)
	file := newSlowFile(t, w.Config)
	w.Program = testutil.StartFrom(t, file.path)
	f := file.open() // the program has opened it, and waits
	w.Program.Term()
	w.Program.Term()
	file.fill(f)
	f.Close()
	w.Program.EndsWith(0)
}
