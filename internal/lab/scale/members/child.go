package members

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// ChildCommand is the sub-command of the program that calls RunChild.
const ChildCommand = "scale-members"

// RunChild runs one trial in its own process: it reads the plan from in and writes the outcome to out, each as one JSON object. It
// ends early when in is closed, so that it does not outlive its parent.
func RunChild(ctx context.Context, in io.Reader, out, progress io.Writer) error {
	var plan Plan
	reader := json.NewDecoder(in)
	if err := reader.Decode(&plan); err != nil {
		return fmt.Errorf("members child: read plan: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, in) // returns when the parent has exited
		cancel()
	}()
	outcome, err := RunTrial(ctx, plan, func(line string) { fmt.Fprintln(progress, line) })
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(outcome)
}

// runInChild runs a plan in a child process, with this executable.
func runInChild(ctx context.Context, plan Plan, progress func(string)) (Outcome, error) {
	var outcome Outcome
	program, err := os.Executable()
	if err != nil {
		return outcome, err
	}
	encoded, err := json.Marshal(plan)
	if err != nil {
		return outcome, err
	}
	command := exec.CommandContext(ctx, program, ChildCommand)
	stdin, err := command.StdinPipe()
	if err != nil {
		return outcome, err
	}
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, lineWriter(progress)
	if err := command.Start(); err != nil {
		return outcome, err
	}
	_, writeError := stdin.Write(append(encoded, '\n'))
	if err := command.Wait(); err != nil { // it also closes stdin
		return outcome, fmt.Errorf("trial with %d members: %w", plan.Size, err)
	}
	if writeError != nil {
		return outcome, writeError
	}
	progress(strings.TrimSpace(out.String())) // the outcome in JSON
	return outcome, json.Unmarshal(out.Bytes(), &outcome)
}

// lineWriter passes each write on as a line, without trailing newlines.
type lineWriter func(string)

// Write implements io.Writer.
func (l lineWriter) Write(b []byte) (int, error) {
	l(strings.TrimRight(string(b), "\n"))
	return len(b), nil
}
