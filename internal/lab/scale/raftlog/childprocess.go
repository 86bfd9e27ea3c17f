package raftlog

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
)

// childProcess is the parent's side of a process that calls RunChild.
type childProcess struct {
	command   *exec.Cmd
	stdin     io.WriteCloser
	requests  *json.Encoder
	responses *json.Decoder
}

// startChild starts this executable with ChildCommand. The caller must call stop, even after the context has ended.
func startChild(ctx context.Context) (*childProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &childProcess{command: exec.CommandContext(ctx, program, ChildCommand)}
	if c.stdin, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.command.Stderr = os.Stderr
	c.requests, c.responses = json.NewEncoder(c.stdin), json.NewDecoder(stdout)
	return c, c.command.Start()
}

// call sends a request and waits for the response. An error that the child reports is a *childError.
func (c *childProcess) call(r request) (response, error) {
	return roundTrip(c.requests, c.responses, r)
}

// stop closes the input of the process, which ends it, and waits for it.
func (c *childProcess) stop() {
	c.stdin.Close()
	_ = c.command.Wait()
}

// electInChild runs the elections of one fleet in its own process, as the loopback addresses are per process.
func electInChild(ctx context.Context, delayFactor float64) (ElectionResult, error) {
	c, err := startChild(ctx)
	if err != nil {
		return ElectionResult{}, err
	}
	defer c.stop()
	reply, err := c.call(request{Operation: opElect, DelayFactor: delayFactor})
	return reply.Election, err
}
