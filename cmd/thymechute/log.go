package main

import (
	"bytes"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines     = 1024                   // log lines waiting to be written; more are dropped
	samplingInterval   = time.Second            // period for which maxLinesPerMessage holds
	maxLinesPerMessage = 20                     // lines with the same level and message per samplingInterval; more are dropped
	logFlushTimeout    = 200 * time.Millisecond // for writing the queued lines when the log is closed
)

// logWriter writes log lines on a goroutine of its own, so that the event loop does not block if nothing reads the log. It
// queues at most maxQueuedLines.
type logWriter struct {
	queue chan []byte
	done  chan struct{} // closed once all queued lines are written
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

// close waits up to logFlushTimeout for the queued lines to be written. Write must not be called afterwards.
func (w *logWriter) close() {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}

// newLog returns the log of an instance, whose name is in each line.
func newLog(name string, destination io.Writer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoding), zapcore.AddSync(destination), zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, samplingInterval, maxLinesPerMessage, 0)
	return zap.New(sampled).Named(name)
}
