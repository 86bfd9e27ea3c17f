package clients

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

const (
	steadyInterval = 2 * time.Millisecond
	reloadPause    = 50 * time.Millisecond // between two reloads in a row
	removedName    = "removed"             // of the tenant and the class that a reload removes
)

// steadyClient sends requests at a steady pace on one connection, of which each second names the tenant or class that is removed,
// and records the answers.
type steadyClient struct {
	conn    net.Conn
	mu      sync.Mutex
	sentAt  map[int]time.Time
	names   map[int]bool // requests that name what is removed
	codes   map[int]int
	late    int
	closing bool
}

func startSteadyClient(t *testing.T, env *testutil.Environment) *steadyClient {
	t.Helper()
	conn, err := net.Dial("tcp", env.ListenAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	s := &steadyClient{conn: conn, sentAt: map[int]time.Time{}, names: map[int]bool{}, codes: map[int]int{}}
	go s.receive()
	return s
}

func (s *steadyClient) receive() {
	for answers := bufio.NewScanner(s.conn); answers.Scan(); {
		var answer testutil.Response
		if json.Unmarshal(answers.Bytes(), &answer) != nil {
			continue
		}
		s.mu.Lock()
		if answer.Method == "closing" {
			s.closing = true
		} else if id, ok := answer.ID.(float64); ok {
			s.codes[int(id)] = answer.Code()
			if time.Since(s.sentAt[int(id)]) > answerDeadline+answerSlack {
				s.late++
			}
		}
		s.mu.Unlock()
	}
}

// sendUntil sends until done is closed or the connection was sent a closing notification.
func (s *steadyClient) sendUntil(done <-chan struct{}) {
	for id := 1; ; id++ {
		select {
		case <-done:
			return
		case <-time.After(steadyInterval):
		}
		kind := classKinds[id%len(classKinds)]
		rid := fmt.Sprintf("%016x", id)
		line := testutil.RequestLine(id, kind.class, rid, body, strings.ReplaceAll(kind.more, "#", rid))
		switch id % 4 {
		case 1:
			line = strings.Replace(line, `"acct":"acme"`, `"acct":"`+removedName+`"`, 1)
		case 3:
			line = testutil.RequestLine(id, removedName, rid, body, "")
		}
		s.mu.Lock()
		isOver := s.closing
		s.sentAt[id] = time.Now()
		s.names[id] = id%2 == 1
		if isOver {
			delete(s.sentAt, id)
		}
		s.mu.Unlock()
		if isOver {
			return
		}
		if _, err := fmt.Fprintln(s.conn, line); err != nil {
			return
		}
	}
}

// expectAllAnswered waits for the last answers and fails the test if one is missing, late or, for what was not removed, not a
// result. mayReject allows rejections.
func (s *steadyClient) expectAllAnswered(t *testing.T, mayReject bool) {
	t.Helper()
	end := time.Now().Add(answerDeadline)
	isDone := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.codes) == len(s.sentAt)
	}
	for !isDone() && time.Now().Before(end) {
		time.Sleep(steadyInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost, failed := 0, 0
	for id := range s.sentAt {
		code, isAnswered := s.codes[id]
		switch {
		case !isAnswered:
			lost++
		case !s.names[id] && code != 0 && !(mayReject && code == -32001):
			failed++
		}
	}
	if lost+s.late+failed > 0 || len(s.sentAt) == 0 {
		t.Errorf("of %d requests %d were lost, %d late and %d of the others not served", len(s.sentAt), lost, s.late, failed)
	}
}

// reloadChanges are what a reload changes or takes away.
var reloadChanges = map[string]func(t *testing.T, config map[string]any){
	"tenant removed": func(_ *testing.T, config map[string]any) {
		s := config["settings"].(map[string]any)
		s["tenants"] = s["tenants"].([]any)[:1]
	},
	"class removed": func(_ *testing.T, config map[string]any) {
		s := config["settings"].(map[string]any)
		s["classes"] = s["classes"].([]any)[:3]
	},
	"window shortened": func(_ *testing.T, config map[string]any) { testutil.SettingsClass(config, 1)["window_s"] = 1 },
	"limit lowered": func(_ *testing.T, config map[string]any) {
		testutil.SettingsSection(config, "domain")["ram_kb"] = 50000
	},
	"address moved": func(t *testing.T, config map[string]any) { config["index"] = testutil.NewFakeIndex(t).Address },
}

// addRemovable adds the tenant and the class that a reload may remove.
func addRemovable(config map[string]any) {
	s := config["settings"].(map[string]any)
	s["tenants"] = append(s["tenants"].([]any), map[string]any{"name": removedName, "quota_per_s": 1000})
	s["classes"] = append(s["classes"].([]any), map[string]any{"name": removedName, "repeat": "repeatable", "worth": 1, "aim_s": 1,
		"deadline_s": answerDeadline.Seconds(), "window_s": 60})
	testutil.SettingsSection(config, "domain")["calls_by_class"] = []any{false, false, false, false}
}

// Guards against review case 2: a reload that takes something away costs the requests of others on the same connections, also twice
// in a row and during a drain.
func TestReloadCostsOthersNothing(t *testing.T) {
	for name, change := range reloadChanges {
		for _, isDraining := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, draining %v", name, isDraining), func(t *testing.T) {
				env := testutil.StartEnvironment(t, func(config map[string]any) {
					setAnswerDeadline(config)
					addRemovable(config)
				})
				go env.Runtime.ServeAll(1, result)
				original, err := json.Marshal(env.Config)
				if err != nil {
					t.Fatal(err)
				}
				var changed map[string]any
				if err := json.Unmarshal(original, &changed); err != nil {
					t.Fatal(err)
				}
				change(t, changed)
				other, err := json.Marshal(changed)
				if err != nil {
					t.Fatal(err)
				}
				client := startSteadyClient(t, env)
				done := make(chan struct{})
				var sending sync.WaitGroup
				sending.Go(func() { client.sendUntil(done) })
				for _, config := range [][]byte{other, original, other} {
					time.Sleep(reloadPause)
					env.Program.WriteConfig(config)
					env.Program.SignalReload()
				}
				if isDraining {
					env.Program.Terminate()
				}
				time.Sleep(4 * reloadPause)
				close(done)
				sending.Wait()
				client.expectAllAnswered(t, isDraining)
				if !strings.Contains(env.Program.Log(), "configuration reloaded") {
					t.Error("no configuration was reloaded")
				}
			})
		}
	}
}
