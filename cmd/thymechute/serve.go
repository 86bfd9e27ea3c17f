// One instance: this file owns Go's limits, the signals, and the wiring of the parts. It must never hold anything
// that one of the parts could.

package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/catalog"
	"thymechute/internal/config"
	"thymechute/internal/front/amqp"
	"thymechute/internal/index"
	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/internal/operator"
	"thymechute/internal/rpc"
	"thymechute/internal/runtimelink"
	"thymechute/policy/settings"
)

const (
	own        = 32  // descriptors for the links, Go's own and those on their way; of the rest, in eighths:
	stubParts  = 5   // the stubs'; one more each for stubs over that, for connections that end, and for calls
	memoryPart = 0.7 // of the memory limit, for Go; the rest is the kernel's and the code's
	moreHeap   = 100 // percent of growth between two collections, under that limit
	dialFor    = time.Second
)

// host puts the instance and its front before the loop.
type host struct {
	*rpc.Server
	*node.Instance
}

// timed is the loop, with what is to be done on it later.
type timed struct {
	*loop.Loop
	after func(time.Duration, func())
}

func (t timed) After(wait time.Duration, what func()) { t.after(wait, what) }

// serve runs one instance until its end.
func serve(g config.Config, o *operator.Settings, signals <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(g.Cores)), 1))
	debug.SetMemoryLimit(int64(float64(g.MemoryBytes) * memoryPart))
	debug.SetGCPercent(moreHeap)
	sockets := g.MaxSockets
	var rl syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rl) == nil && rl.Cur < uint64(sockets) {
		sockets = int(rl.Cur)
	}
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the instance
	out := newLines(os.Stderr)
	defer out.close()
	log := newLog(g.Name, out)

	fl, err := startFleet(g.Name, o.Fleet, g.StopTimeout, log)
	if err != nil {
		return err
	}
	defer fl.leave(log)
	inst := node.New(g.Settings, g.Seed, g.StopTimeout, g.MemoryBytes, log)
	inForce := inForce{settings: g.Settings, version: inst.Version()}
	g.Settings = settings.Settings{} // later ones take their place in inForce
	part := (sockets - own) / 8
	front := rpc.NewServer(rpc.Config{Admission: inst, MaxConns: stubParts * part, SpareConns: part, Log: log})
	return loop.Run(loop.Config{Address: g.Listen, Host: host{front, inst}, MemoryLimit: g.MemoryBytes, MaxLingering: part, Log: log, OnStart: func(l *loop.Loop) {
		dial := func(network string, address *string) func(loop.Handler) { // the address may change
			return func(p loop.Handler) { l.Dial(network, *address, dialFor, p) }
		}
		after := func(wait time.Duration, f func()) { time.AfterFunc(wait, func() { l.Post(f) }) }
		cores := runtimelink.NewLink(inst, dial("tcp", &g.Runtime), after, g.Seed, log)
		calls := index.NewPool(inst, dial("tcp", &g.Index), part, log)
		reports := catalog.New(g.Name, dial("udp", &g.Catalog))
		fronts := []node.Front{front}
		if o.AMQP != nil {
			fronts = append(fronts, amqp.New(inst, timed{l, after}, o.AMQP, g.Name, g.Seed, inst.Idempotency, log))
		}
		inst.Connect(cores, calls, reports, fronts...)
		cores.Open()
		take := func(later config.Config, delta settings.Delta) error {
			if !delta.IsEmpty() {
				if err := inst.Apply(delta); err != nil {
					return err
				}
			}
			log.Info("configuration read again", append(changed(delta, inst.Version()), zap.String("runtime", later.Runtime),
				zap.String("index", later.Index), zap.String("directory", later.Catalog),
				zap.Strings("not changed while running", g.RestartKeys(later)))...)
			move(&g.Runtime, later.Runtime, cores.Open)
			move(&g.Index, later.Index, calls.Move)
			move(&g.Catalog, later.Catalog, reports.Move)
			return nil
		}
		hups := make(chan os.Signal, 1) // one that comes while the file is read is answered by reading it once more
		go inForce.reloads(hups, l.Post, take, log)
		go func() {
			for s := range signals {
				if s == syscall.SIGHUP {
					select {
					case hups <- s:
					default:
					}
					continue
				}
				l.Post(inst.Drain)
				go fl.leave(log) // off the loop: it waits up to a second for the others to hear
			}
		}()
	}})
}

// move goes to another address.
func move(address *string, later string, moved func()) {
	if *address != later {
		*address = later
		moved()
	}
}
