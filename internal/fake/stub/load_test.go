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

// server starts a server that passes each request, with its number from 1, to answer, and stops with the test. answer is called
// for one request at a time.
func server(t *testing.T, answer func(n int, c net.Conn, id int)) string {
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

func serve(c net.Conn, id int) {
	fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":{"doc":""}}`+"\n", id)
}

func load(address string) Load {
	return Load{Address: address, Rate: 400, Duration: time.Second, AnswerTimeout: 5 * time.Second, Connections: 16, Seed: 1,
		Request: func(int) Request { return Request{Class: "read", Tenant: "acme", Body: []byte("x"), MemoryKB: 1} }}
}

// A server that stalls for 300 ms delays all requests that are due meanwhile, not only one: about 120 at 400 a second, half of
// them by more than 150 ms. A closed-loop generator would measure one long latency.
func TestServerStallShowsInTailLatency(t *testing.T) {
	const stall = 300 * time.Millisecond
	address := server(t, func(n int, c net.Conn, id int) {
		if n == 100 {
			time.Sleep(stall)
		}
		serve(c, id)
	})
	samples, err := load(address).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	expectTailLatency(t, samples, stall)
	if served := samples.Count(Served); served != len(samples) {
		t.Errorf("%d of %d served", served, len(samples))
	}
}

// A stall of the generator shows in the same way: latency counts from the due time, so that the generator's own delay is part of it.
func TestGeneratorStallShowsInTailLatency(t *testing.T) {
	const stall = 300 * time.Millisecond
	l := load(server(t, func(_ int, c net.Conn, id int) { serve(c, id) }))
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
		t.Errorf("the generator's longest send delay is %v", late)
	}
}

func expectTailLatency(t *testing.T, samples Samples, stall time.Duration) {
	t.Helper()
	waited := 0
	for _, s := range samples {
		if s.Latency >= stall/2 {
			waited++
		}
	}
	if waited < 30 {
		t.Errorf("%d of %d requests waited over %v, expected about 60 and 30 at least", waited, len(samples), stall/2)
	}
	if p99 := samples.Latencies().Percentile(99); p99 < stall/2 {
		t.Errorf("p99 %v, expected over %v", p99, stall/2)
	}
}

// Each kind of answer, and no answer, has an outcome of its own. The latency of a request without an answer is its age.
func TestOutcomes(t *testing.T) {
	address := server(t, func(n int, c net.Conn, id int) {
		switch n % 5 {
		case 0:
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"error":{"code":-32001,"message":"busy"}}`+"\n", id)
		case 1:
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"error":{"code":-32000,"message":"failed"}}`+"\n", id)
		case 2: // nothing
		default:
			serve(c, id)
		}
	})
	l := load(address)
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

// No more than 32 requests are open on a connection; a request beyond the limit counts as not sent, with its age.
func TestOpenRequestsAreLimitedPerConnection(t *testing.T) {
	l := load(server(t, func(int, net.Conn, int) {}))
	l.Connections, l.Duration, l.AnswerTimeout = 2, 300*time.Millisecond, 50*time.Millisecond
	samples, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if open := samples.Count(Unanswered); open != 2*maxOpenRequests {
		t.Errorf("%d open on two connections, expected %d", open, 2*maxOpenRequests)
	}
	if unsent := samples.Count(Unsent); unsent != len(samples)-2*maxOpenRequests || unsent == 0 {
		t.Errorf("%d of %d not sent", unsent, len(samples))
	}
	for _, s := range samples {
		if s.Latency < l.AnswerTimeout {
			t.Fatalf("a request without an answer counts with %v", s.Latency)
		}
	}
}

// A connection that is notified of its end takes no further request and ends once it is answered; a cut one loses what is open.
// Others take their places, and nothing else is lost.
func TestClosingAndCutConnectionsAreReplaced(t *testing.T) {
	seen, closings := map[net.Conn]bool{}, 0
	address := server(t, func(n int, c net.Conn, id int) {
		seen[c] = true
		if n == 200 {
			c.Close()
			return
		}
		if n%50 == 0 { // before the answer, which the server still sends
			closings++
			fmt.Fprintln(c, `{"jsonrpc":"2.0","method":"closing"}`)
		}
		serve(c, id)
	})
	l := load(address)
	samples, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	lost := samples.Count(Lost)
	if lost < 1 || lost > maxOpenRequests {
		t.Errorf("%d lost, expected what was open on the one connection that was cut", lost)
	}
	if served := samples.Count(Served); served != len(samples)-lost {
		t.Errorf("%d of %d served, %d lost", served, len(samples), lost)
	}
	if len(seen) < l.Connections+closings/2 {
		t.Errorf("%d connections, %d at first, %d notified", len(seen), l.Connections, closings)
	}
}

// The same seed makes the same load.
func TestSeedDeterminesTheLoad(t *testing.T) {
	count := func(seed uint64) int {
		l := load(server(t, func(_ int, c net.Conn, id int) { serve(c, id) }))
		l.Seed, l.Duration = seed, 200*time.Millisecond
		samples, err := l.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return len(samples)
	}
	if a, b := count(7), count(7); a != b {
		t.Errorf("%d and %d requests", a, b)
	}
}

// A load that is stopped sends nothing more, and ends with its answers.
func TestStoppedLoadEnds(t *testing.T) {
	stop := make(chan struct{})
	l := load(server(t, func(n int, c net.Conn, id int) {
		if n == 20 {
			close(stop)
		}
		serve(c, id)
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
