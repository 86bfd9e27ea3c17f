//go:build review

// Package standin has small stand-ins for the parties around one service instance: the runtime, the index, the catalog and a
// client stub. They follow the pages "Protocol" and "Deployment" of the kit. It uses the standard library only.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a case: what was sent, answered and run. It is written to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes one line with the seconds since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }
