// The log: this file owns the lines on their way to standard error. It must never make the loop wait, whoever reads
// them or not, nor keep more than its bound.

package main

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	mostLines = 1024        // waiting to be written; emptied by the writer, dropped when full
	alikeEach = time.Second // of lines alike
	alikeMost = 20          // so many are written
	flushFor  = 200 * time.Millisecond
)

// lines hands log lines to a goroutine of its own: who reads them may stop reading, and the loop must not wait.
type lines struct {
	queue chan []byte
	done  chan struct{}
}

func newLines(to io.Writer) *lines {
	l := &lines{make(chan []byte, mostLines), make(chan struct{})}
	go func() {
		defer close(l.done)
		for p := range l.queue {
			_, _ = to.Write(p)
		}
	}()
	return l
}

// Write takes a line, or drops it where too many wait.
func (l *lines) Write(p []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), p...):
	default:
	}
	return len(p), nil
}

// close gives what waits a little time to be written. Nothing may be logged after it.
func (l *lines) close() {
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(flushFor):
	}
}

func newLog(name string, to io.Writer) *zap.Logger {
	form := zap.NewProductionEncoderConfig()
	form.EncodeTime, form.EncodeDuration = zapcore.ISO8601TimeEncoder, zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(form), zapcore.AddSync(to), zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, alikeEach, alikeMost, 0)).Named(name)
}
