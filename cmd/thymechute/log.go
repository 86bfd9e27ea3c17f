package main

import (
	"bytes"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines   = 1024                   // log lines waiting to be written; more are dropped
	samplingInterval = time.Second            // over which maxAlikeLines counts
	maxAlikeLines    = 20                     // lines with the same level and message per interval; more are dropped
	logFlushTimeout  = 200 * time.Millisecond // for writing the queued lines at the end
)

// logWriter writes log lines from a goroutine of its own, so that a reader of the log that stops reading never blocks the
// event loop. It queues at most maxQueuedLines.
type logWriter struct {
	queue chan []byte
	done  chan struct{} // closed once all of the queue is written
}

func newLogWriter(destination io.Writer) *logWriter {
	w := &logWriter{
		queue: make(chan []byte, maxQueuedLines),
		done:  make(chan struct{}),
	}
	go w.run(destination)
	return w
}

func (w *logWriter) run(destination io.Writer) {
	defer close(w.done)
	for line := range w.queue {
		_, _ = destination.Write(line)
	}
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// close waits up to logFlushTimeout for the queued lines to be written. Nothing may be logged after it.
func (w *logWriter) close() {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}

// newLog returns the log of the instance with that name.
func newLog(name string, destination io.Writer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoding), zapcore.AddSync(destination), zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, samplingInterval, maxAlikeLines, 0)
	return zap.New(sampled).Named(name)
}
