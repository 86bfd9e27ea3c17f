// This file owns a trial in a process of its own: the plan goes in as one JSON object, the outcome comes out as one. A child
// ends with its trial, and when its parent closes its input.

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

// ChildCommand is the command line's word for a trial in a process of its own.
const ChildCommand = "scale-members"

// Child runs the trial that is read from in and writes its outcome.
func Child(ctx context.Context, in io.Reader, out, progress io.Writer) error {
	var plan Plan
	reader := json.NewDecoder(in)
	if err := reader.Decode(&plan); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, in) // ends with the parent
		cancel()
	}()
	outcome, err := Try(ctx, plan, func(line string) { fmt.Fprintln(progress, line) })
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(outcome)
}

// tryInChild runs a plan in a child of this program.
func tryInChild(ctx context.Context, plan Plan, progress func(string)) (Outcome, error) {
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
	command.Stdout, command.Stderr = &out, lines(progress)
	if err := command.Start(); err != nil {
		return outcome, err
	}
	_, writeError := stdin.Write(append(encoded, '\n'))
	if err := command.Wait(); err != nil { // it closes stdin after
		return outcome, fmt.Errorf("%d members: %w", plan.Size, err)
	}
	if writeError != nil {
		return outcome, writeError
	}
	progress(strings.TrimSpace(out.String())) // as measured, before anything is fitted
	return outcome, json.Unmarshal(out.Bytes(), &outcome)
}

// lines hands on what is written, line by line.
type lines func(string)

func (l lines) Write(b []byte) (int, error) {
	l(strings.TrimRight(string(b), "\n"))
	return len(b), nil
}
