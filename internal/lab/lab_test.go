package lab

import (
	"testing"

	"thymechute/internal/testutil"
)

// With 1500 messages, the claims of both AMQP experiments hold and their figures are present.
func TestAMQPExperiments(t *testing.T) {
	folder := t.TempDir()
	program := testutil.BuildProgram(t)
	for name, run := range map[string]Experiment{"amqp": AMQP, "amqp-storm": AMQPStorm} {
		r, err := run(Options{Program: program, Folder: folder, Seed: 1, Size: 1500, Progress: func(string) {}})
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range r.Faults {
			t.Errorf("%s: %s", name, f)
		}
		figures := r.ByName()
		if figures["read"] < 1500 || figures["fulfilled"] == 0 || figures["acks_dropped"] == 0 || figures["most_memory_mb"] == 0 {
			t.Errorf("%s: a figure is missing or too small: %v", name, figures)
		}
	}
}

// Six members agree after each step: kill -9, SIGSTOP and SIGCONT, a restart without state, an isolated member, a one-way
// partition, a partition and a graceful shutdown.
func TestFleetAgreesAfterEachStep(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	folder := t.TempDir()
	program := testutil.BuildProgram(t)
	r, err := FleetWithAgreementLimit(Options{Program: program, Folder: folder, Seed: 1, Size: 6,
		Progress: func(line string) { t.Log(line) }}, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Faults {
		t.Error(f)
	}
	figures := r.ByName()
	if _, ok := figures["smaller_side_still_holds"]; !ok || figures["converge_ms_p99"] == 0 {
		t.Errorf("figures missing: %v", figures)
	}
}
