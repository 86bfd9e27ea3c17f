// This file owns reloads: a file put in place, the signal, and what the log says of it.

package instance

import (
	"context"
	"os"
	"strings"
	"time"
)

const (
	reloadLimit  = 10 * time.Second      // waited for the log's line; as landed 60,000 tenants take longer
	lineGap      = 60 * time.Millisecond // between two reloads: the log leaves out what is said over 20 times a second
	wordsTaken   = "configuration reloaded"
	wordsRefused = "configuration rejected"
)

// outcome of a reload, by the log.
type outcome int

const (
	silent outcome = iota // no line within reloadLimit
	taken
	refused
)

// reload is one of them; over is when the log's line came, or when it was waited for no longer.
type reload struct {
	sent, over time.Time
	outcome    outcome
	line       string
}

func (r reload) took() float64 { return milliseconds(r.over.Sub(r.sent)) }

// put replaces the file and sends the signal, and waits for the log's line.
func (r *rig) put(ctx context.Context, text []byte) (reload, error) {
	time.Sleep(lineGap)
	from := r.logged()
	if err := os.WriteFile(r.file, text, 0o600); err != nil {
		return reload{}, err
	}
	done := reload{sent: time.Now()}
	r.reload()
	line, ok := r.await(ctx, from, reloadLimit, wordsTaken, wordsRefused)
	done.over, done.line = line.at, line.text
	switch {
	case !ok:
		done.over = time.Now()
	case strings.Contains(line.text, wordsTaken):
		done.outcome = taken
	default:
		done.outcome = refused
	}
	return done, ctx.Err()
}

// every puts the texts in turn, one each gap, until the span is over or one is not taken.
func (r *rig) every(ctx context.Context, gap, span time.Duration, texts [2][]byte) (reloads []reload, err error) {
	begin := time.Now()
	for n := 0; time.Since(begin) < span; n++ {
		one, err := r.put(ctx, texts[n%2])
		if err != nil {
			return reloads, err
		}
		if reloads = append(reloads, one); one.outcome != taken {
			return reloads, nil
		}
		select {
		case <-time.After(time.Until(begin.Add(time.Duration(n+1) * gap))):
		case <-ctx.Done():
			return reloads, ctx.Err()
		}
	}
	return reloads, nil
}
