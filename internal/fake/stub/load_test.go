package stub

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// startServer starts a server that calls answer for every request, numbered from 1 in order of arrival, and stops it at the end
// of the test. Calls of answer do not overlap.
func startServer(t *testing.T, answer func(n int, c net.Conn, id int)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	count := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewScanner(c); in.Scan(); {
					var m struct{ ID int }
					if json.Unmarshal(in.Bytes(), &m) != nil {
						return
					}
					mu.Lock()
					count++
					answer(count, c, m.ID)
					mu.Unlock()
				}
			}()
		}
	}()
	return l.Addr().String()
}

// writeServed writes the answer of a served request.
func writeServed(c net.Conn, id int) {
	fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":{"doc":""}}`+"\n", id)
}

// newLoad returns a load of 400 requests per second for 1 s on 16 connections.
func newLoad(address string) Load {
	return Load{Address: address, Rate: 400, Duration: time.Second, AnswerTimeout: 5 * time.Second, Connections: 16, Seed: 1,
		Request: func(int) Request { return Request{Class: "read", Tenant: "acme", Body: []byte("x"), MemoryKB: 1} }}
}

// A server that stalls for 300 ms delays all requests that are due meanwhile: about 120 at 400 per second, half of them by more
// than 150 ms. A closed-loop generator would measure a single long latency.
func TestServerStallShowsInTailLatency(t *testing.T) {
	const stall = 300 * time.Millisecond
	address := startServer(t, func(n int, c net.Conn, id int) {
		if n == 100 {
			time.Sleep(stall)
		}
		writeServed(c, id)
	})
	samples, err := newLoad(address).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	expectTailLatency(t, samples, stall)
	if served := samples.Count(Served); served != len(samples) {
		t.Errorf("%d of %d requests served", served, len(samples))
	}
}

// A stall of the generator itself shows in the same way, because latency is measured from the due time.
func TestGeneratorStallShowsInTailLatency(t *testing.T) {
	const stall = 300 * time.Millisecond
	l := newLoad(startServer(t, func(_ int, c net.Conn, id int) { writeServed(c, id) }))
	l.GeneratorDelay = func(n int) time.Duration {
		if n == 100 {
			return stall
		}
		return 0
	}
	samples, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	expectTailLatency(t, samples, stall)
	if late := samples.SendDelays().Max(); late < stall {
		t.Errorf("the longest send delay is %v, expected at least the generator's stall of 300ms", late)
	}
}

// expectTailLatency checks that the samples show a stall of the given length at the rate of newLoad.
func expectTailLatency(t *testing.T, samples Samples, stall time.Duration) {
	t.Helper()
	waited := 0
	for _, s := range samples {
		if s.Latency >= stall/2 {
			waited++
		}
	}
	if waited < 30 {
		t.Errorf("%d of %d requests waited at least %v, expected about 60, at least 30", waited, len(samples), stall/2)
	}
	if p99 := samples.Latencies().Percentile(99); p99 < stall/2 {
		t.Errorf("p99 is %v, expected at least %v", p99, stall/2)
	}
}

// Each kind of answer has its own outcome, and so has a missing answer. The latency of an unanswered request is its age.
func TestOutcomes(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, id int) {
		switch n % 5 {
		case 0:
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"error":{"code":-32001,"message":"busy"}}`+"\n", id)
		case 1:
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"error":{"code":-32000,"message":"failed"}}`+"\n", id)
		case 2: // no answer
		default:
			writeServed(c, id)
		}
	})
	l := newLoad(address)
	l.Duration, l.AnswerTimeout = 250*time.Millisecond, 250*time.Millisecond
	samples, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for outcome, share := range map[Outcome]float64{Served: 0.4, Rejected: 0.2, Failed: 0.2, Unanswered: 0.2} {
		if got := float64(samples.Count(outcome)) / float64(len(samples)); got < share-0.03 || got > share+0.03 {
			t.Errorf("outcome %d: share %.2f, expected %.2f", outcome, got, share)
		}
	}
	for _, s := range samples {
		if s.Outcome == Unanswered && s.Latency < l.AnswerTimeout {
			t.Fatalf("a request without an answer counts with %v", s.Latency)
		}
	}
}

// At most 32 requests are open on a connection. A request beyond the limit is recorded as Unsent, with its age as latency.
func TestOpenRequestsAreLimitedPerConnection(t *testing.T) {
	l := newLoad(startServer(t, func(int, net.Conn, int) {}))
	l.Connections, l.Duration, l.AnswerTimeout = 2, 300*time.Millisecond, 50*time.Millisecond
	samples, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if open := samples.Count(Unanswered); open != 2*maxOpenRequests {
		t.Errorf("%d requests open on two connections, expected %d", open, 2*maxOpenRequests)
	}
	if unsent := samples.Count(Unsent); unsent != len(samples)-2*maxOpenRequests || unsent == 0 {
		t.Errorf("%d of %d requests not sent, expected all beyond the limit of open requests", unsent, len(samples))
	}
	for _, s := range samples {
		if s.Latency < l.AnswerTimeout {
			t.Fatalf("a request without an answer counts with %v", s.Latency)
		}
	}
}

// A connection that the server announces to close takes no further requests and is closed once its open requests are answered. A
// cut connection loses its open requests. Both are replaced, and no other request is lost.
func TestClosingAndCutConnectionsAreReplaced(t *testing.T) {
	seen, closings := map[net.Conn]bool{}, 0
	address := startServer(t, func(n int, c net.Conn, id int) {
		seen[c] = true
		if n == 200 {
			c.Close()
			return
		}
		if n%50 == 0 { // the notification precedes the answer, which is still sent
			closings++
			fmt.Fprintln(c, `{"jsonrpc":"2.0","method":"closing"}`)
		}
		writeServed(c, id)
	})
	l := newLoad(address)
	samples, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	lost := samples.Count(Lost)
	if lost < 1 || lost > maxOpenRequests {
		t.Errorf("%d requests lost, expected 1 to 32: those open on the one connection that was cut", lost)
	}
	if served := samples.Count(Served); served != len(samples)-lost {
		t.Errorf("%d of %d requests served, %d lost", served, len(samples), lost)
	}
	if len(seen) < l.Connections+closings/2 {
		t.Errorf("%d connections in total, expected more: %d at the start, %d closing notifications", len(seen), l.Connections, closings)
	}
}

// Two loads with the same seed have the same number of requests.
func TestSeedDeterminesTheLoad(t *testing.T) {
	count := func(seed uint64) int {
		l := newLoad(startServer(t, func(_ int, c net.Conn, id int) { writeServed(c, id) }))
		l.Seed, l.Duration = seed, 200*time.Millisecond
		samples, err := l.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return len(samples)
	}
	if a, b := count(7), count(7); a != b {
		t.Errorf("two loads with one seed had %d and %d requests", a, b)
	}
}

// A stopped load sends no further requests, and ends once its open requests are answered.
func TestStoppedLoadEnds(t *testing.T) {
	stop := make(chan struct{})
	l := newLoad(startServer(t, func(n int, c net.Conn, id int) {
		if n == 20 {
			close(stop)
		}
		writeServed(c, id)
	}))
	l.Duration, l.Stop = time.Minute, stop
	begin := time.Now()
	samples, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(samples) < 20 || samples.Count(Served) != len(samples) || time.Since(begin) > l.Duration/2 {
		t.Errorf("%d requests, %d served, %v", len(samples), samples.Count(Served), time.Since(begin))
	}
}
