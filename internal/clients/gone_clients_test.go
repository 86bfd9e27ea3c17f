package clients

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

const (
	unreadRounds = 5
	unreadStop   = 30 * time.Millisecond // a tick of the program is then due when it goes on
)

// leaveKinds are the ways in which a client leaves.
var leaveKinds = map[string]func(c net.Conn){
	"plain close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"half close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
}

// requestLines returns n requests, whose ids begin with the prefix.
func requestLines(class, more, prefix string, n int) string {
	var lines strings.Builder
	for id := 1; id <= n; id++ {
		rid := fmt.Sprintf("%s%d", prefix, id)
		lines.WriteString(testutil.RequestLine(id, class, rid, body, strings.ReplaceAll(more, "#", rid)) + "\n")
	}
	return lines.String()
}

// expectNoStartBefore fails the test if the runtime is told to start anything before a request that is sent now.
func expectNoStartBefore(t *testing.T, env *testutil.Environment, notice int, rid string) {
	t.Helper()
	other := env.Connect()
	other.SendRequest(1, "trace", rid, body, "")
	for {
		task, _ := env.Runtime.ExpectCommand("start")
		if task == rid {
			break
		}
		t.Errorf("%s was started after its client had left", task)
		env.Runtime.SendEnd(notice, task, "good", result)
		notice++
	}
	env.Runtime.SendEnd(notice, rid, "good", result)
	other.ExpectResponse(1, 0, result)
}

// stopProgram stops the program and waits until all its threads stand still.
func stopProgram(t *testing.T, env *testutil.Environment) {
	t.Helper()
	pid := env.Program.Cmd.Process.Pid
	_ = env.Program.Cmd.Process.Signal(syscall.SIGSTOP)
	testutil.Eventually(t, "the program stands still", func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		if err != nil || len(threads) == 0 {
			return false
		}
		for _, path := range threads {
			stat, err := os.ReadFile(path)
			_, state, _ := strings.Cut(string(stat), ") ")
			if err != nil || !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return true
	})
}

// Guards against requests that are run although their client had left before they were read. The program is stopped while the
// client writes and leaves, so that all of it is unread.
func TestUnreadRequestsOfGoneClientAreNotRun(t *testing.T) {
	const unread = 100 // over the number of pending requests that a connection may have
	for leaving, leave := range leaveKinds {
		t.Run(leaving, func(t *testing.T) {
			env := testutil.StartEnvironment(t, nil)
			notice := 0
			next := func() int { notice++; return notice }
			expectNoStartBefore(t, env, next(), "bb00") // the program serves
			for _, kind := range classKinds {
				for round := range unreadRounds {
					client := env.Connect()
					client.SendHealthCheck(1)
					client.ExpectServing()
					stopProgram(t, env)
					late := env.Connect() // accepted by the kernel only
					for n, c := range []net.Conn{client.Conn, late.Conn} {
						prefix := fmt.Sprintf("aa%d-%d-", round, n)
						if _, err := c.Write([]byte(requestLines(kind.class, kind.more, prefix, unread))); err != nil {
							t.Fatal(err)
						}
						leave(c)
					}
					time.Sleep(unreadStop)
					_ = env.Program.Cmd.Process.Signal(syscall.SIGCONT)
					expectNoStartBefore(t, env, next(), fmt.Sprintf("bb%s%d", kind.class, round))
				}
			}
		})
	}
}

// Guards against a second run of an id that comes again on another connection after its client has left. A safe request may run
// again, a keyed one gets the first run's result, and one that must run once is failed.
func TestIDThatComesAgainAfterItsClientLeft(t *testing.T) {
	for leaving, leave := range leaveKinds {
		for _, kind := range classKinds {
			for _, again := range []string{"", `,"again":1`} {
				t.Run(fmt.Sprintf("%s, %s%s", leaving, kind.class, again), func(t *testing.T) {
					env := testutil.StartEnvironment(t, nil)
					more := strings.ReplaceAll(kind.more, "#", "5c0f")
					first := env.Connect()
					first.SendRequest(1, kind.class, "aa01", body, more)
					env.Runtime.AwaitCommand("start", "aa01")
					leave(first.Conn)
					during := env.Connect()
					during.SendRequest(1, kind.class, "aa01", body, more+again)
					during.ExpectResponse(1, -32600, "") // its run goes on
					outcome := "good"
					if kind.class == "trace" { // the other runs go on
						env.Runtime.AwaitCommand("stop", "aa01")
						outcome = "cut"
					}
					env.Runtime.SendEnd(1, "aa01", outcome, result)
					expectNoStartBefore(t, env, 2, "bb01")
					second := env.Connect()
					second.SendRequest(1, kind.class, "aa01", body, more+again)
					switch kind.class {
					case "trace":
						env.Runtime.AwaitCommand("start", "aa01")
						env.Runtime.SendEnd(3, "aa01", "good", result)
						second.ExpectResponse(1, 0, result)
					case "excursion":
						second.ExpectResponse(1, 0, result)
						expectNoStartBefore(t, env, 3, "bb02")
					case "seal":
						second.ExpectResponse(1, -32000, "")
						expectNoStartBefore(t, env, 3, "bb02")
					}
				})
			}
		}
	}
}

// Guards against a second run of an id whose first run was completed and answered.
func TestCompletedIDIsNotRunAgain(t *testing.T) {
	for _, kind := range []struct{ class, more string }{{"seal", ""}, {"seal", `,"again":1`}, {"excursion", ""}, {"excursion", `,"again":1`}} {
		t.Run(kind.class+kind.more, func(t *testing.T) {
			env := testutil.StartEnvironment(t, nil)
			first := env.Connect()
			first.SendRequest(1, kind.class, "aa01", body, "") // a keyed class without a key has only its id
			env.Runtime.AwaitCommand("start", "aa01")
			env.Runtime.SendEnd(1, "aa01", "good", result)
			first.ExpectResponse(1, 0, result)
			for id, stub := range map[int]*testutil.Stub{2: first, 3: env.Connect()} {
				stub.SendRequest(id, kind.class, "aa01", body, kind.more)
				stub.ExpectResponse(id, -32000, "")
			}
			expectNoStartBefore(t, env, 2, "bb01")
		})
	}
}
