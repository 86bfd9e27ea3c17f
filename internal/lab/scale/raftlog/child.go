// This file owns a process of logs as a child: it does what its parent asks, one JSON object a line, until its input
// closes.

package raftlog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"thymechute/internal/decide/lease"
)

// ChildCommand is the command line's word for a process of logs.
const ChildCommand = "scale-log"

const addWithin = 30 * time.Second // all, one after the other

// leadWithin is how long a founder may take to lead, and a leader to take one more process.
const leadWithin = 10 * time.Second

// request is what the parent asks.
type request struct {
	Do      string        // start, add, propose, read, applied, elect
	Count   int           // start: logs; propose: entries
	Found   bool          // start: the first founds the log
	Beat    time.Duration // start
	State   int           // start: tenants in the state, with routes in proportion; 0: none
	Peers   []Peer        // add
	Voters  int           // add: the first of Peers, that vote
	Every   time.Duration // propose: between two entries; 0: as fast as they are taken
	Bytes   int           // propose: of an entry's body
	Collect bool          // read: memory is collected first
	Factor  float64       // elect: of the delays
}

// answer is what came of it.
type answer struct {
	Error   string
	Peers   []Peer
	Reading Reading
	Applied uint64 // by the slowest
	Decoded int64  // bytes of state that the last log was handed
	State   int    // bytes of state

	Election Election
}

// Child answers requests until in ends.
func Child(ctx context.Context, in io.Reader, out io.Writer) error {
	p := &process{}
	defer p.end()
	requests, answers := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var r request
		if err := requests.Decode(&r); err != nil {
			return nil // the parent is done
		}
		reply, err := p.do(ctx, r)
		if err != nil {
			reply.Error = err.Error()
		}
		if err := answers.Encode(reply); err != nil {
			return err
		}
	}
}

func (p *process) do(ctx context.Context, r request) (reply answer, err error) {
	switch r.Do {
	case "start":
		state := State(r.State)
		reply.State = len(state)
		for n := range r.Count {
			h, err := p.start(r.Found && n == 0, r.Beat, state, nil)
			if err != nil {
				return reply, err
			}
			reply.Peers = append(reply.Peers, h.peer)
		}
		if r.Found {
			err = tryFor(leadWithin, func() error { return p.propose(0) })
		}
	case "add":
		began := time.Now()
		for n, peer := range r.Peers {
			if time.Since(began) > addWithin {
				return reply, fmt.Errorf("added %d of %d within %v", n, len(r.Peers), addWithin)
			}
			add := p.logs[0].log.AddLearner
			if n < r.Voters {
				add = p.logs[0].log.AddVoter
			}
			if err := tryFor(leadWithin, func() error { return add(peer.Process, peer.Address) }); err != nil {
				return reply, fmt.Errorf("add %d of %d: %w", n, len(r.Peers), err)
			}
		}
	case "propose":
		for range r.Count {
			if err := p.propose(r.Bytes); err != nil {
				return reply, err
			}
			time.Sleep(r.Every)
		}
	case "elect":
		reply.Election, err = Elect(ctx, r.Factor)
		return reply, err
	case "read":
		if r.Collect {
			runtime.GC()
			debug.FreeOSMemory()
		}
		reply.Reading, err = p.read()
	}
	if len(p.logs) > 0 {
		reply.Applied, reply.Decoded = p.applied(), p.logs[len(p.logs)-1].decoded.Load()
	}
	return reply, err
}

// propose writes one entry with a body of so many bytes, by the first log.
func (p *process) propose(bodyBytes int) error {
	first := p.logs[0]
	return first.log.Propose(lease.Command{Kind: lease.Announce, Duty: "ring", Member: first.peer.Process, Body: strings.Repeat("x", bodyBytes)})
}

func tryFor(limit time.Duration, f func() error) error {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		err := f()
		if err == nil || time.Since(began) > limit {
			return err
		}
	}
}

// child is a process of logs, as the parent holds it.
type child struct {
	command  *exec.Cmd
	stdin    io.WriteCloser
	requests *json.Encoder
	answers  *json.Decoder
}

func startChild(ctx context.Context) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{command: exec.CommandContext(ctx, program, ChildCommand)}
	if c.stdin, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.command.Stderr = os.Stderr
	c.requests, c.answers = json.NewEncoder(c.stdin), json.NewDecoder(stdout)
	return c, c.command.Start()
}

func (c *child) ask(r request) (answer, error) {
	var reply answer
	if err := c.requests.Encode(r); err != nil {
		return reply, err
	}
	if err := c.answers.Decode(&reply); err != nil {
		return reply, fmt.Errorf("child: %w", err)
	}
	if reply.Error != "" {
		return reply, fmt.Errorf("child, %s: %s", r.Do, reply.Error)
	}
	return reply, nil
}

func (c *child) end() {
	c.stdin.Close()
	_ = c.command.Wait()
}

// electInChild runs one fleet of voters in a process of its own: addresses are a process's.
func electInChild(ctx context.Context, factor float64) (Election, error) {
	c, err := startChild(ctx)
	if err != nil {
		return Election{}, err
	}
	defer c.end()
	reply, err := c.ask(request{Do: "elect", Factor: factor})
	return reply.Election, err
}
