package clients

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

const (
	slowClients      = 600 // connected at once
	slowClientsTime  = 2500 * time.Millisecond
	slowWriteRest    = 20 * time.Millisecond // between two pieces of a slow writer
	slowMemoryMB     = 32
	largeMessageSize = 8000 // bytes; just under the maximum
)

// slowForm is a way in which the slow clients write.
type slowForm struct {
	write       func(c net.Conn)
	atFullSpeed bool // the clients write without a rest
}

// slowForms are the ways in which the slow clients write; write returns when its connection has ended.
var slowForms = map[string]slowForm{
	"one byte at a time":                             {write: func(c net.Conn) { writeSlowly(c, requestOf("seal", "")(1), 1) }},
	"large message in pieces":                        {write: func(c net.Conn) { writeSlowly(c, largeMessage(), 500) }},
	"half of a large message":                        {write: func(c net.Conn) { writeHalf(c, largeMessage()) }},
	"half of a large message with many short fields": {write: func(c net.Conn) { writeHalf(c, manyFieldsLine(1)) }},
	"no end of line":                                 {write: func(c net.Conn) { writeHalf(c, strings.Repeat("[", 2*largeMessageSize)) }},
	"nothing":                                        {write: func(c net.Conn) { writeHalf(c, "") }},

	"messages of many short fields": {write: func(c net.Conn) { writeAll(c, manyFieldsLine) }, atFullSpeed: true},
	"requests, answers unread":      {write: func(c net.Conn) { writeAll(c, requestOf("seal", "")) }, atFullSpeed: true},
	"health checks, answers unread": {write: func(c net.Conn) { writeAll(c, floodKinds["unread checks"].line) }, atFullSpeed: true},
}

func largeMessage() string {
	return requestOf("seal", `,"more":"`+strings.Repeat("x", largeMessageSize)+`"`)(1)
}

func writeSlowly(c net.Conn, text string, size int) {
	for len(text) > 0 {
		size = min(size, len(text))
		if _, err := c.Write([]byte(text[:size])); err != nil {
			return
		}
		text = text[size:]
		time.Sleep(slowWriteRest)
	}
	awaitEnd(c)
}

func writeHalf(c net.Conn, text string) {
	_, _ = c.Write([]byte(text[:len(text)/2]))
	awaitEnd(c)
}

func writeAll(c net.Conn, line func(n int) string) {
	for n := 1; ; n++ {
		if _, err := fmt.Fprintln(c, line(n)); err != nil {
			return
		}
	}
}

// awaitEnd reads until the program closes the connection.
func awaitEnd(c net.Conn) {
	buffer := make([]byte, 512)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// connectSlowly keeps slowClients connections open until the deadline; one that ends is replaced.
func connectSlowly(address string, form slowForm, deadline time.Time) {
	var clients sync.WaitGroup
	for range slowClients {
		clients.Go(func() {
			for time.Now().Before(deadline) {
				c, err := net.Dial("tcp", address)
				if err != nil {
					time.Sleep(slowWriteRest)
					continue
				}
				_ = c.SetDeadline(deadline)
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
				form.write(c)
				c.Close()
			}
		})
	}
	clients.Wait()
}

// startWithSlowClients starts the program with a small memory limit and the slow clients. done is closed when they have ended.
func startWithSlowClients(t *testing.T, form slowForm) (env *testutil.Environment, done chan struct{}) {
	t.Helper()
	env = testutil.StartEnvironment(t, func(config map[string]any) {
		config["limits"].(map[string]any)["memory_mb"] = slowMemoryMB
		config["limits"].(map[string]any)["sockets"] = 1024
		setAnswerDeadline(config)
	})
	go env.Runtime.ServeAll(1, result)
	done = make(chan struct{})
	go func() {
		connectSlowly(env.ListenAddress, form, time.Now().Add(slowClientsTime))
		close(done)
	}()
	return env, done
}

// Guards against a process that is killed for its memory because hundreds of clients write slowly, stop half way or send very many
// short fields.
func TestHundredsOfSlowClientsStayWithinMemory(t *testing.T) {
	for name, form := range slowForms {
		t.Run(name, func(t *testing.T) {
			env, done := startWithSlowClients(t, form)
			sound := newSoundClient(t, env)
			if !form.atFullSpeed {
				sound.sendUntil(done)
			}
			<-done
			peak := peakMemoryMB(t, env)
			t.Logf("sound client: %v at most, answers by code %v; %.1f MB at most", sound.longest.Round(time.Millisecond), sound.counts, peak)
			if peak > slowMemoryMB {
				t.Errorf("%.1f MB resident, want at most %d", peak, slowMemoryMB)
			}
		})
	}
}

// Hundreds of clients at full speed must not keep the requests of another client from being answered by their deadline.
func TestSoundClientBesideHundredsAtFullSpeed(t *testing.T) {
	for name, form := range slowForms {
		if !form.atFullSpeed {
			continue
		}
		t.Run(name, func(t *testing.T) {
			env, done := startWithSlowClients(t, form)
			sound := newSoundClient(t, env)
			sound.sendUntil(done)
			t.Logf("sound client: %v at most, answers by code %v", sound.longest.Round(time.Millisecond), sound.counts)
		})
	}
}
