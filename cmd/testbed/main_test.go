package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// commandTimeout limits the run time of each command in these tests.
const commandTimeout = 60 * time.Second

// runOutsideRepository runs an executable in a directory outside the repository, with an empty PATH and thus without the Go tools.
func runOutsideRepository(t *testing.T, executable string, args ...string) (out, errs string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), commandTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, executable, args...)
	var stdout, stderr bytes.Buffer
	c.Dir, c.Stdout, c.Stderr = t.TempDir(), &stdout, &stderr
	c.Env = []string{"TMPDIR=" + t.TempDir()}
	err := c.Run()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		t.Fatal(err)
	}
	return stdout.String(), stderr.String(), c.ProcessState.ExitCode()
}

// An experiment runs in any directory if the thymechute executable is in the directory of testbed. Otherwise the error names the
// missing file and how to build it.
func TestExperimentRunsOutsideTheRepository(t *testing.T) {
	folder := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", folder, "thymechute/cmd/thymechute", "thymechute/cmd/testbed").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	testbed, program := filepath.Join(folder, "testbed"), filepath.Join(folder, "thymechute")

	out, errs, code := runOutsideRepository(t, testbed, "run", "amqp-storm", "--size", "200", "--json")
	figures := map[string]float64{}
	if err := json.Unmarshal([]byte(out), &figures); err != nil || code != 0 || figures["read"] < 200 {
		t.Errorf("exit code %d, JSON error %v; expected 0, and 200 messages read at least; output: %s%s", code, err, out, errs)
	}

	if err := os.Remove(program); err != nil {
		t.Fatal(err)
	}
	out, errs, code = runOutsideRepository(t, testbed, "run", "amqp-storm", "--size", "200", "--json")
	for _, part := range []string{program, "found nothing", "expected the executable thymechute", "go build -o bin/ ./cmd/..."} {
		if !strings.Contains(errs, part) {
			t.Errorf("standard error is %q, expected it to contain %q", errs, part)
		}
	}
	if code != 1 || out != "" || strings.Count(errs, "\n") != 1 {
		t.Errorf("exit code %d, %q on standard output, %q on standard error; expected 1, nothing and one line", code, out, errs)
	}
}

// The fakes run by "fake" and by its alias "stand", which existing scripts use.
func TestFakeCommandHasItsAlias(t *testing.T) {
	for _, group := range []string{"fake", "stand"} {
		for _, name := range []string{"broker", "runtime"} {
			command, rest, err := newRootCommand().Find([]string{group, name})
			if err != nil || len(rest) > 0 || command.Name() != name {
				t.Errorf("%s %s: found the command %q with unparsed arguments %q, error %v", group, name, command.Name(), rest, err)
			}
		}
	}
}
