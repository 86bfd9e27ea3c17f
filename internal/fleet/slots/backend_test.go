package slots

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"thymechute/internal/decide/ring"
)

// writeBackendsFile atomically replaces the file from which the members read the target backends.
func writeBackendsFile(t *testing.T, file string, backends []ring.Backend) {
	t.Helper()
	b, _ := json.Marshal(backends)
	if err := os.WriteFile(file+".new", b, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// listenForLines accepts connections until the end of the test. It passes the first line of each to handle, on a goroutine of
// its own, and then closes the connection.
func listenForLines(t *testing.T, handle func(line string)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				line, _ := bufio.NewReader(connection).ReadString('\n')
				handle(line)
			}()
		}
	}()
	return listener.Addr().String()
}

// recordingBackends are the backends that makeKeyedCalls calls, in the parent process. They count violations: calls that arrive
// while another backend works on a call with the same key.
type recordingBackends struct {
	mu         sync.Mutex
	active     map[string]map[string]int // calls in progress by key and backend
	violations int
	calls      int
}

func (s *recordingBackends) serve(t *testing.T, backend string) (address string) {
	return listenForLines(t, func(line string) {
		var key string
		var milliseconds int
		if n, _ := fmt.Sscan(line, &key, &milliseconds); n != 2 {
			return
		}
		s.begin(key, backend)
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
		s.end(key, backend)
	})
}

func (s *recordingBackends) begin(key, backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[key] == nil {
		s.active[key] = map[string]int{}
	}
	s.calls++
	if len(s.active[key]) > 0 && s.active[key][backend] == 0 {
		s.violations++
	}
	s.active[key][backend]++
}

func (s *recordingBackends) end(key, backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[key][backend]--; s.active[key][backend] == 0 {
		delete(s.active[key], backend)
	}
}

func (s *recordingBackends) counts() (calls, violations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.violations
}

// arrival is a call that has arrived at a countingBackend.
type arrival struct {
	at          time.Time
	from        string
	isWarmingUp bool // the backend is warming up in the sender's table
}

// countingBackend records the calls of callWarmingBackend to one backend, in the parent process.
type countingBackend struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (b *countingBackend) serve(t *testing.T) (address string) {
	return listenForLines(t, func(line string) {
		var a arrival
		if n, _ := fmt.Sscan(line, &a.from, &a.isWarmingUp); n != 2 {
			return
		}
		b.mu.Lock()
		a.at = time.Now()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
	})
}

func (b *countingBackend) copyArrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

func hasCallFrom(arrivals []arrival, name string, after time.Time) bool {
	for _, a := range arrivals {
		if a.from == name && a.at.After(after) {
			return true
		}
	}
	return false
}
