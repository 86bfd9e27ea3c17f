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

// unreachableAddress stands for the index, which no class calls.
const unreachableAddress = "127.0.0.1:9"

// The first byte of a body determines what the fake runtime does with it.
const (
	workLoad  = 'l' // runs for loadRunTime
	workProbe = 'p' // ends at once
)

const loadRunTime = time.Millisecond

// rig is a program with the fakes of its runtime and of the catalog.
type rig struct {
	deploymentPlan
	*process
	runtime *runtime.Runtime
	catalog *catalog.Catalog

	lastID   atomic.Uint64 // request ID of probes and idle connections
	mu       sync.Mutex
	runTimes map[string]time.Duration // by request body, of the last load
}

// newRig starts the fakes and the program and waits until the program serves; startTime is the time from exec to then. After an
// error nothing runs any more; the error is a *startError when the program did not start.
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
	if r.runtime, r.deploymentPlan.runtime, err = runtime.Start("127.0.0.1:0", work, func(string, []byte) {}); err != nil {
		return 0, err
	}
	r.runtime.OnEnd(r.observeEnd)
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

// freeAddress is not on 127.0.0.1, from which all peers dial, since an outgoing connection could take its port.
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

// work is the run time of a task at the fake runtime.
func work(_ string, body []byte) (time.Duration, []byte) {
	if bytes.HasPrefix(body, []byte{workLoad}) {
		return loadRunTime, nil
	}
	return 0, nil
}

// observeEnd records the run time of a load's request.
func (r *rig) observeEnd(body []byte, took time.Duration) {
	if len(body) == 0 || body[0] != workLoad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTimes[string(body)] = took
}

// runTime is the run time of a load's request; 0 when it did not run.
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

// nextID is the ID of a request that no load sends.
func (r *rig) nextID() uint64 { return r.lastID.Add(1) }
