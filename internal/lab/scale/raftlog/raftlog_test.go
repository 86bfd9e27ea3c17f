package raftlog

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"thymechute/internal/lab/scale"
)

// TestMain lets the test binary act as the child process.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == ChildCommand {
		if err := RunChild(context.Background(), os.Stdin, os.Stdout); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// If not even the smallest size can run, the error reports that size and wraps the error of the trial.
func TestRunReportsThatTheSmallestSizeFailed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	result, err := Part{}.Run(ctx, scale.Options{})
	var failed *SmallestSizeError
	if !errors.As(err, &failed) || failed.Followers != Sizes[0] || !errors.Is(err, context.Canceled) {
		t.Errorf("found %+v and %v, expected a *SmallestSizeError of %d followers and %v", result, err, Sizes[0], context.Canceled)
	}
}

func TestTrialMeasuresLeaderAndFollowersApart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	out, err := runTrial(ctx, Plan{Voters: 3, HeartbeatTimeout: longHeartbeatTimeout, NonVoters: 4, IdlePeriod: time.Second, Entries: 10,
		EntryInterval: 20 * time.Millisecond, EntryBytes: 300})
	if err != nil {
		t.Fatal(err)
	}
	followers := float64(out.Followers)
	if followers != 6 {
		t.Fatalf("found %v followers, expected 6", followers)
	}
	ratio := out.Leader.idleBytesPerSecond() / (out.Follower.idleBytesPerSecond() * followers)
	if out.Follower.idleBytesPerSecond() <= 0 || ratio < 0.8 || ratio > 1.25 {
		t.Errorf("idle traffic: leader %.0f B/s, all followers %.0f B/s, expected about the same, as they only send to each other",
			out.Leader.idleBytesPerSecond(), out.Follower.idleBytesPerSecond()*followers)
	}
	if out.Leader.EntryBytes < 300*followers {
		t.Errorf("found %.0f bytes per entry at the leader, expected at least 300 for each of %v followers", out.Leader.EntryBytes, followers)
	}
}

func TestLateFollowerRestoresState(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and waits for raft's snapshot")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	const tenants = TargetTenants
	out, err := measureCatchUp(ctx, tenants)
	if err != nil {
		t.Fatal(err)
	}
	if out.DecodedBytes != out.StateBytes || out.LeaderBytes < out.StateBytes {
		t.Errorf("found %+v, expected the complete state to be sent and restored", out)
	}
	t.Logf("%+v", out)
}

func TestDelayedConnKeepsOrderAndDelay(t *testing.T) {
	near, far := net.Pipe()
	const delay = 30 * time.Millisecond
	delayed := newDelayedConn(near, delay)
	defer delayed.Close()
	began := time.Now()
	for _, part := range []string{"a", "b", "c"} {
		if _, err := io.WriteString(delayed, part); err != nil {
			t.Fatal(err)
		}
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(far, got); err != nil {
		t.Fatal(err)
	}
	if string(got) != "abc" || time.Since(began) < delay {
		t.Errorf("found %q after %v, expected abc after at least %v", got, time.Since(began), delay)
	}
}
