package instance

import (
	"context"
	"os"
	"strings"
	"time"

	"thymechute/internal/lab/scale"
)

const (
	reloadTimeout = 10 * time.Second // for the log line about the outcome
	// minReloadInterval keeps reloads below 20 per second, above which the program's logger samples messages.
	minReloadInterval = 60 * time.Millisecond
	// Log messages of the program for the outcome of a reload.
	appliedMessage  = "configuration reloaded"
	rejectedMessage = "configuration rejected"
)

// outcome is the outcome of a reload according to the program's log.
type outcome int

const (
	unanswered outcome = iota // no log message within reloadTimeout
	applied
	rejected
)

// reload is one reload of the configuration. It is completed when the program logs its outcome, or at the timeout.
type reload struct {
	sent, completed time.Time
	outcome         outcome
	logLine         string
}

func (r reload) millis() float64 { return scale.Milliseconds(r.completed.Sub(r.sent)) }

// replaceFile writes the configuration file, signals the program to reload it, and waits until the outcome is logged.
func (r *rig) replaceFile(ctx context.Context, text []byte) (reload, error) {
	time.Sleep(minReloadInterval)
	from := r.lineCount()
	if err := os.WriteFile(r.file, text, 0o600); err != nil {
		return reload{}, err
	}
	reloaded := reload{sent: time.Now()}
	r.signalReload()
	line, ok := r.awaitLine(ctx, from, reloadTimeout, appliedMessage, rejectedMessage)
	reloaded.completed, reloaded.logLine = line.at, line.text
	switch {
	case !ok:
		reloaded.completed = time.Now()
	case strings.Contains(line.text, appliedMessage):
		reloaded.outcome = applied
	default:
		reloaded.outcome = rejected
	}
	return reloaded, ctx.Err()
}

// reloadPeriodically reloads the two files alternately, one per periodicReloadInterval, until the duration is over or a reload is not
// applied.
func (r *rig) reloadPeriodically(ctx context.Context, duration time.Duration, files [2][]byte) (reloads []reload, err error) {
	begin := time.Now()
	for n := 0; time.Since(begin) < duration; n++ {
		reloaded, err := r.replaceFile(ctx, files[n%2])
		if err != nil {
			return reloads, err
		}
		reloads = append(reloads, reloaded)
		if reloaded.outcome != applied {
			return reloads, nil
		}
		next := begin.Add(time.Duration(n+1) * periodicReloadInterval)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return reloads, ctx.Err()
		}
	}
	return reloads, nil
}
