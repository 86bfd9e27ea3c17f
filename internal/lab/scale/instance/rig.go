package instance

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"thymechute/internal/fake/catalog"
	"thymechute/internal/fake/faultnet"
	"thymechute/internal/fake/runtime"
)

// unreachableAddress is the address of the index, which no class calls.
const unreachableAddress = "127.0.0.1:9"

// The first byte of a request body selects the run time at the fake runtime.
const (
	workLoad  = 'l' // a load's request, runs for loadRunTime
	workProbe = 'p' // a probe's request, ends immediately
)

const loadRunTime = time.Millisecond

// rig is a running program with the fakes of its runtime and of the catalog.
type rig struct {
	deploymentPlan
	*process
	runtime *runtime.Runtime
	catalog *catalog.Catalog

	lastID   atomic.Uint64 // last request ID of probes and idle connections
	mu       sync.Mutex
	runTimes map[string]time.Duration // by request body, of the last load
}

// newRig starts the fakes and the program, and waits until the program serves. startTime is the time from exec until then. On an error
// everything is stopped; the error is a *startError if the program did not start.
func newRig(ctx context.Context, program, folder string, d deploymentPlan) (r *rig, startTime time.Duration, err error) {
	r = &rig{deploymentPlan: d, runTimes: map[string]time.Duration{}}
	startTime, err = r.start(ctx, program, folder)
	if err != nil {
		r.close()
		return nil, 0, err
	}
	return r, startTime, nil
}

func (r *rig) start(ctx context.Context, program, folder string) (startTime time.Duration, err error) {
	if r.runtime, r.deploymentPlan.runtime, err = runtime.Start("127.0.0.1:0", taskRunTime, func(string, []byte) {}); err != nil {
		return 0, err
	}
	r.runtime.OnEnd(r.recordRunTime)
	if r.catalog, r.deploymentPlan.catalog, err = catalog.Start("127.0.0.1:0"); err != nil {
		return 0, err
	}
	if r.deploymentPlan.listen, err = freeAddress(); err != nil {
		return 0, err
	}
	file := filepath.Join(folder, "instance.json")
	if err = r.write(file); err != nil {
		return 0, err
	}
	if r.process, err = startProcess(program, file, r.deploymentPlan.listen); err != nil {
		return 0, err
	}
	return r.waitUntilServing(ctx)
}

// freeAddress returns a free address that is not on 127.0.0.1: all peers dial from there, and an outgoing connection could take its
// port.
func freeAddress() (string, error) {
	return faultnet.FreeAddress(fmt.Sprintf("127.2.%d.%d", os.Getpid()>>8&255, os.Getpid()&255))
}

// close kills the program and closes the fakes.
func (r *rig) close() {
	if r.process != nil {
		r.process.kill()
	}
	if r.runtime != nil {
		r.runtime.Close()
	}
	if r.catalog != nil {
		r.catalog.Close()
	}
}

// taskRunTime returns the run time and the result of a task at the fake runtime.
func taskRunTime(_ string, body []byte) (time.Duration, []byte) {
	if bytes.HasPrefix(body, []byte{workLoad}) {
		return loadRunTime, nil
	}
	return 0, nil
}

// recordRunTime records the run time of a load's request when it ends.
func (r *rig) recordRunTime(body []byte, took time.Duration) {
	if len(body) == 0 || body[0] != workLoad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTimes[string(body)] = took
}

// runTime returns the run time of a load's request; 0 if it did not run.
func (r *rig) runTime(body string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runTimes[body]
}

func (r *rig) resetRunTimes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.runTimes)
}

// nextID returns the ID of a request that is not part of a load.
func (r *rig) nextID() uint64 { return r.lastID.Add(1) }
