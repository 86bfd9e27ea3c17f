// This file owns one rig: the program, the stand-ins of its runtime and of the catalog, and what the runtime saw.

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

// nobody is an address where no index listens: no class calls it.
const nobody = "127.0.0.1:9"

// What the runtime does with a body goes by its first byte.
const (
	workLoad  = 'l' // loadSpan on a core
	workProbe = 'p' // nothing, at once
)

const loadSpan = time.Millisecond

// rig is a program with its stand-ins. Its table, run times by body, is of one load and emptied by the next.
type rig struct {
	deployment
	*process
	runtime *runtime.Runtime
	catalog *catalog.Catalog

	ids  atomic.Uint64 // of the probe's requests
	mu   sync.Mutex
	took map[string]time.Duration // run times of the load's bodies
}

// startRig starts all of it and waits until the program serves; started is the time from exec to then. What it started has
// ended where there is an error, which is a *startError where it is the program's.
func startRig(ctx context.Context, program, folder string, d deployment) (*rig, time.Duration, error) {
	r := &rig{deployment: d, took: map[string]time.Duration{}}
	started, err := r.start(ctx, program, folder)
	if err != nil {
		r.end()
		return nil, 0, err
	}
	return r, started, nil
}

func (r *rig) start(ctx context.Context, program, folder string) (started time.Duration, err error) {
	if r.runtime, r.deployment.runtime, err = runtime.Start("127.0.0.1:0", work, func(string, []byte) {}); err != nil {
		return 0, err
	}
	r.runtime.OnEnd(r.ended)
	if r.catalog, r.deployment.catalog, err = catalog.Start("127.0.0.1:0"); err != nil {
		return 0, err
	}
	if r.deployment.listen, err = freeAddress(); err != nil {
		return 0, err
	}
	file := filepath.Join(folder, "instance.json")
	if _, err = r.write(file); err != nil {
		return 0, err
	}
	if r.process, err = startProcess(program, file, r.deployment.listen); err != nil {
		return 0, err
	}
	return r.untilServing(ctx)
}

// freeAddress lies apart from 127.0.0.1, from which all dial: the port of a connection on its way would else take it.
func freeAddress() (string, error) {
	return faultnet.FreeAddress(fmt.Sprintf("127.2.%d.%d", os.Getpid()>>8&255, os.Getpid()&255))
}

func (r *rig) end() {
	if r.process != nil {
		r.process.end()
	}
	if r.runtime != nil {
		r.runtime.Close()
	}
	if r.catalog != nil {
		r.catalog.Close()
	}
}

func work(_ string, body []byte) (time.Duration, []byte) {
	if bytes.HasPrefix(body, []byte{workLoad}) {
		return loadSpan, nil
	}
	return 0, nil
}

func (r *rig) ended(body []byte, took time.Duration) {
	if len(body) == 0 || body[0] != workLoad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took[string(body)] = took
}

// runTime is what the run of a load's request took; 0 where it had none.
func (r *rig) runTime(body string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.took[body]
}

func (r *rig) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.took)
}

func (r *rig) nextID() uint64 { return r.ids.Add(1) }
