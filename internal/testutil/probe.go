// This file owns the probe: health checks sent at times that were set beforehand, whether or not the earlier ones were
// answered, and how long each waited from its time on. It must never wait for an answer before it sends the next.

package testutil

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// probeConns is over how many connections the checks go in turn: a program that stands still for a second must find room for
// what is sent meanwhile, and one connection may have 32 open.
const probeConns = 16

// Probe is such checks on their way.
type Probe struct {
	t     *testing.T
	every time.Duration
	start time.Time
	conns []net.Conn
	stop  chan struct{}
	sent  chan int // how many, once it has stopped
	mu    sync.Mutex
	waits []time.Duration
	all   sync.WaitGroup
}

// Probe begins to send checks, one each so often.
func (w *Environment) Probe(every time.Duration) *Probe {
	w.T.Helper()
	p := &Probe{t: w.T, every: every, stop: make(chan struct{}), sent: make(chan int, 1)}
	for range probeConns {
		p.conns = append(p.conns, w.Stub().Conn)
	}
	p.start = time.Now().Add(every)
	for _, conn := range p.conns {
		p.all.Add(1)
		go p.read(conn)
	}
	go p.send()
	return p
}

func (p *Probe) send() {
	for n := 0; ; n++ {
		time.Sleep(time.Until(p.at(n)))
		select {
		case <-p.stop:
			p.sent <- n
			return
		default:
			_, _ = fmt.Fprintf(p.conns[n%probeConns], `{"jsonrpc":"2.0","id":%d,"method":"check"}`+"\n", n)
		}
	}
}

func (p *Probe) at(n int) time.Time { return p.start.Add(time.Duration(n) * p.every) }

func (p *Probe) read(conn net.Conn) {
	defer p.all.Done()
	for in := bufio.NewScanner(conn); in.Scan(); {
		now := time.Now()
		var answer struct {
			ID     *int
			Result *struct{ Serving bool }
		}
		if json.Unmarshal(in.Bytes(), &answer) != nil || answer.ID == nil || answer.Result == nil || !answer.Result.Serving {
			continue // no good answer: it counts as not answered
		}
		p.mu.Lock()
		p.waits = append(p.waits, now.Sub(p.at(*answer.ID)))
		p.mu.Unlock()
	}
}

// Waits are all that was answered.
type Waits struct {
	Sent, Answered int
	P50, P99, Most time.Duration
}

// Stop sends no more, waits for what is open, and tells how long each waited.
func (p *Probe) Stop() Waits {
	p.t.Helper()
	close(p.stop)
	sent := Next(p.t, p.sent, "the end of a probe")
	Eventually(p.t, "every check of the probe answered", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waits) == sent
	})
	for _, conn := range p.conns {
		conn.Close()
	}
	p.all.Wait()
	slices.Sort(p.waits)
	at := func(part float64) time.Duration { return p.waits[int(part*float64(len(p.waits)-1))] }
	return Waits{Sent: sent, Answered: len(p.waits), P50: at(0.5), P99: at(0.99), Most: at(1)}
}
