package policy_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

var (
	updateDecisions = flag.Bool("update-decisions", false, "rewrite testdata/decisions.golden")
	decisionsDir    = flag.String("decisions-dir", "", "write the complete transcripts to this directory")
)

const (
	scenarioCount   = 120
	decisionsGolden = "testdata/decisions.golden"
)

// TestDecisionsStayAsRecorded runs scenarios of random load from fixed seeds, and compares a hash of all host
// calls and their arguments with the recorded one. It guards against refactorings that change a decision, a
// random draw or rounding.
func TestDecisionsStayAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("other architectures may fuse multiplications and additions, which rounds differently")
	}
	var got strings.Builder
	for seed := range uint64(scenarioCount) {
		transcript := runScenario(seed)
		fmt.Fprintf(&got, "%d %d %x\n", seed, strings.Count(transcript, "\n"), sha256.Sum256([]byte(transcript)))
		if *decisionsDir != "" {
			path := filepath.Join(*decisionsDir, fmt.Sprintf("%d.txt", seed))
			if err := os.WriteFile(path, []byte(transcript), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	if *updateDecisions {
		if err := os.WriteFile(decisionsGolden, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(decisionsGolden)
	if err != nil {
		t.Fatal(err)
	}
	wantLines := strings.Split(string(want), "\n")
	for n, line := range strings.Split(got.String(), "\n") {
		if n >= len(wantLines) || line != wantLines[n] {
			t.Errorf("scenario %d: decisions differ from the recorded ones: %q", n, line)
		}
	}
}
