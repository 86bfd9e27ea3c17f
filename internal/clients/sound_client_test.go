package clients

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

const (
	soundInterval   = 20 * time.Millisecond // between an answer and the next request of the sound client
	answerDeadline  = 2 * time.Second       // of its requests, by the settings
	answerSlack     = 50 * time.Millisecond // by which an answer on sockets may be later
	statusMemoryKey = "VmHWM:"
	kilobytesPerMB  = 1024
)

// classKinds are the classes of the test settings, one of each kind, with the further params of their requests.
var classKinds = []struct{ class, more string }{
	{"trace", ""},
	{"excursion", `,"token":"#"`},
	{"seal", ""},
}

// setAnswerDeadline sets the deadline of all classes to answerDeadline.
func setAnswerDeadline(config map[string]any) {
	for class := range classKinds {
		testutil.SettingsClass(config, class)["aim_s"] = answerDeadline.Seconds() / 2
		testutil.SettingsClass(config, class)["deadline_s"] = answerDeadline.Seconds()
	}
}

// peakMemoryMB returns the largest resident size of the program so far.
func peakMemoryMB(t *testing.T, env *testutil.Environment) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", env.Program.Cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the program has ended: %v", err)
	}
	_, rest, _ := strings.Cut(string(status), statusMemoryKey)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return float64(kilobytes) / kilobytesPerMB
}

// soundClient sends one request after the other and keeps to the protocol: it leaves a connection that was sent a closing
// notification, and sends a request once more if it crossed the close of its connection.
type soundClient struct {
	t       *testing.T
	env     *testutil.Environment
	conn    net.Conn
	answers *bufio.Scanner
	closing bool
	longest time.Duration // of the answers
	counts  map[int]int   // answers by error code; 0 for results
}

func newSoundClient(t *testing.T, env *testutil.Environment) *soundClient {
	s := &soundClient{t: t, env: env, counts: map[int]int{}}
	t.Cleanup(s.disconnect)
	return s
}

func (s *soundClient) disconnect() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// sendUntil sends requests of all classes in turn until done is closed. It fails the test if one is not answered by its deadline.
func (s *soundClient) sendUntil(done <-chan struct{}) {
	s.t.Helper()
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(soundInterval):
		}
		kind := classKinds[n%len(classKinds)]
		rid := fmt.Sprintf("5000%012x", n)
		line := testutil.RequestLine(n, kind.class, rid, body, strings.ReplaceAll(kind.more, "#", rid))
		start := time.Now()
		code, err := s.request(line, start.Add(answerDeadline+answerSlack))
		if err != nil {
			s.t.Fatalf("request %d of the sound client, of class %s: not answered after %v: %v", n, kind.class, time.Since(start), err)
		}
		s.longest = max(s.longest, time.Since(start))
		s.counts[code]++
	}
}

// request sends a request, once more if its connection was closed, and returns the error code of the answer, 0 for a result.
func (s *soundClient) request(line string, deadline time.Time) (code int, err error) {
	code, err = s.requestOnce(line, deadline)
	if err != nil && time.Now().Before(deadline) {
		s.disconnect()
		code, err = s.requestOnce(line, deadline)
	}
	return code, err
}

func (s *soundClient) requestOnce(line string, deadline time.Time) (code int, err error) {
	if s.closing {
		s.disconnect()
	}
	if s.conn == nil {
		s.closing = false
		s.conn, err = net.Dial("tcp", s.env.ListenAddress)
		if err != nil {
			return 0, err
		}
		s.answers = bufio.NewScanner(s.conn)
	}
	_ = s.conn.SetDeadline(deadline)
	if _, err := fmt.Fprintln(s.conn, line); err != nil {
		return 0, err
	}
	for s.answers.Scan() {
		var answer testutil.Response
		if err := json.Unmarshal(s.answers.Bytes(), &answer); err != nil {
			return 0, err
		}
		if answer.Method != "closing" {
			return answer.Code(), nil
		}
		s.closing = true
	}
	if s.answers.Err() != nil {
		return 0, s.answers.Err()
	}
	return 0, net.ErrClosed
}
