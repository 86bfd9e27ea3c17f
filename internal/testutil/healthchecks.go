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

// healthCheckConns is the number of connections over which the checks are distributed in turn. A connection may have 32 pending
// requests, so that a program that stalls for a second can still receive all checks sent meanwhile.
const healthCheckConns = 16

// HealthChecks sends health checks at a fixed interval, whether or not earlier ones were answered, and measures the latency of
// each from its scheduled time.
type HealthChecks struct {
	t         *testing.T
	interval  time.Duration
	start     time.Time
	conns     []net.Conn
	stop      chan struct{}
	sent      chan int // receives the number of checks sent, once sending has stopped
	readers   sync.WaitGroup
	mu        sync.Mutex // guards latencies
	latencies []time.Duration
}

// StartHealthChecks starts to send a health check every interval.
func (e *Environment) StartHealthChecks(interval time.Duration) *HealthChecks {
	e.T.Helper()
	h := &HealthChecks{
		t:        e.T,
		interval: interval,
		stop:     make(chan struct{}),
		sent:     make(chan int, 1),
	}
	for range healthCheckConns {
		h.conns = append(h.conns, e.Connect().Conn)
	}
	h.start = time.Now().Add(interval)
	for _, conn := range h.conns {
		h.readers.Add(1)
		go h.readResponses(conn)
	}
	go h.sendUntilStopped()
	return h
}

func (h *HealthChecks) sendUntilStopped() {
	for n := 0; ; n++ {
		time.Sleep(time.Until(h.scheduledAt(n)))
		select {
		case <-h.stop:
			h.sent <- n
			return
		default:
			_, _ = fmt.Fprintf(h.conns[n%healthCheckConns], `{"jsonrpc":"2.0","id":%d,"method":"check"}`+"\n", n)
		}
	}
}

func (h *HealthChecks) scheduledAt(n int) time.Time {
	return h.start.Add(time.Duration(n) * h.interval)
}

// readResponses records the latencies of the checks that report the program as serving; others count as unanswered.
func (h *HealthChecks) readResponses(conn net.Conn) {
	defer h.readers.Done()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		now := time.Now()
		var response struct {
			ID     *int
			Result *struct{ Serving bool }
		}
		err := json.Unmarshal(lines.Bytes(), &response)
		if err != nil || response.ID == nil || response.Result == nil || !response.Result.Serving {
			continue
		}
		h.mu.Lock()
		h.latencies = append(h.latencies, now.Sub(h.scheduledAt(*response.ID)))
		h.mu.Unlock()
	}
}

// Latencies summarizes the latencies of the answered checks.
type Latencies struct {
	Sent, Answered int
	P50, P99, Max  time.Duration
}

// Stop stops sending, waits until all checks sent are answered, and returns a summary of their latencies.
func (h *HealthChecks) Stop() Latencies {
	h.t.Helper()
	close(h.stop)
	sent := Next(h.t, h.sent, "the end of the health checks")
	Eventually(h.t, "every health check answered", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.latencies) == sent
	})
	for _, conn := range h.conns {
		conn.Close()
	}
	h.readers.Wait()
	slices.Sort(h.latencies)
	return Latencies{
		Sent:     sent,
		Answered: len(h.latencies),
		P50:      h.quantile(0.5),
		P99:      h.quantile(0.99),
		Max:      h.quantile(1),
	}
}

// quantile returns a quantile of the latencies, which must be sorted.
func (h *HealthChecks) quantile(q float64) time.Duration {
	return h.latencies[int(q*float64(len(h.latencies)-1))]
}
