package main

import (
	"os"
	"os/signal"
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

const dialTimeout = time.Second

// host implements loop.Host: the server accepts connections, and the instance handles the ticks.
type host struct {
	*rpc.Server
	*node.Instance
}

// service is one running instance with its server and its links to other programs.
type service struct {
	config   config.Config // in effect, except for the settings, which the reloader has
	operator *operator.Settings
	log      *zap.Logger
	instance *node.Instance
	server   *rpc.Server
	fleet    *fleet // nil if the operator's settings have none

	descriptorShare int // see the function descriptorShare

	// The links to other programs, created on the loop.
	runtime *runtimelink.Link
	index   *index.Pool
	catalog *catalog.Reporter
}

// serve runs one instance until its graceful shutdown is complete. It fails if the program cannot listen on an address.
func serve(c config.Config, o *operator.Settings, signals <-chan os.Signal) error {
	limitRuntime(c)
	signal.Ignore(syscall.SIGPIPE) // sent when the reader of standard error has closed it
	writer := newLogWriter(os.Stderr)
	defer writer.close()
	log := newLog(c.Name, writer)

	fleet, err := startFleet(c.Name, o.Fleet, c.StopTimeout, log)
	if err != nil {
		return err
	}
	defer fleet.leave(log)

	s := &service{
		config:          c,
		operator:        o,
		log:             log,
		instance:        node.New(c.Settings, c.Seed, c.StopTimeout, c.MemoryBytes, log),
		fleet:           fleet,
		descriptorShare: descriptorShare(c),
	}
	s.config.Settings = settings.Settings{}
	return s.run(&reloader{settings: c.Settings, version: s.instance.SettingsVersion(), log: log}, signals)
}

func (s *service) run(r *reloader, signals <-chan os.Signal) error {
	s.server = rpc.NewServer(rpc.Config{
		Admission:  s.instance,
		MaxConns:   stubDescriptorShares * s.descriptorShare,
		SpareConns: s.descriptorShare,
		Log:        s.log,
	})
	return loop.Run(loop.Config{
		Address:      s.config.Listen,
		Host:         host{s.server, s.instance},
		MemoryLimit:  s.config.MemoryBytes,
		MaxLingering: s.descriptorShare,
		Log:          s.log,

		SocketBufferBytes: socketBufferBytes(s.config.MemoryBytes, s.descriptorShare),
		OnStart: func(l *loop.Loop) {
			s.connect(l)
			s.handleSignals(l, r, signals)
		},
	})
}

// connect creates the links to the other programs and passes them to the instance.
func (s *service) connect(l *loop.Loop) {
	s.runtime = runtimelink.NewLink(s.instance, dialer(l, "tcp", &s.config.Runtime), l.After, s.config.Seed, s.log)
	s.index = index.NewPool(s.instance, dialer(l, "tcp", &s.config.Index), s.descriptorShare, s.log)
	s.catalog = catalog.New(s.config.Name, dialer(l, "udp", &s.config.Catalog))
	fronts := []node.Front{s.server}
	if s.operator.AMQP != nil {
		consumer := amqp.New(s.instance, l, s.operator.AMQP, s.config.Name, s.config.Seed, s.instance.Idempotency, s.log)
		fronts = append(fronts, consumer)
	}
	s.instance.Connect(s.runtime, s.index, s.catalog, fronts...)
	s.runtime.Open()
}

// dialer returns a function that connects a handler to the address. It takes a pointer, as a reload may change the address.
func dialer(l *loop.Loop, network string, address *string) func(loop.Handler) {
	return func(handler loop.Handler) { l.Dial(network, *address, dialTimeout, handler) }
}

// handleSignals starts a reload on SIGHUP, and the graceful shutdown on all other signals.
func (s *service) handleSignals(l *loop.Loop, r *reloader, signals <-chan os.Signal) {
	r.post = l.Post
	r.apply = s.applyReload
	requests := make(chan struct{}, 1) // all signals that arrive during a reload lead to one more reload
	go r.run(requests)
	go func() {
		for received := range signals {
			if received == syscall.SIGHUP {
				requestReload(requests)
				continue
			}
			l.Post(s.instance.Drain)
			go s.fleet.leave(s.log) // not on the loop, as each of its steps waits up to a second for the other members
		}
	}()
}

func requestReload(requests chan<- struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// applyReload applies a reloaded configuration. delta is the difference between its settings and those in effect. It runs on the
// loop. On an error nothing of the configuration takes effect.
func (s *service) applyReload(reloaded config.Config, delta settings.Delta) error {
	if !delta.IsEmpty() {
		if err := s.instance.Apply(delta); err != nil {
			return err
		}
	}
	fields := append(deltaFields(delta, s.instance.SettingsVersion()),
		zap.String("runtime", reloaded.Runtime),
		zap.String("index", reloaded.Index),
		zap.String("directory", reloaded.Catalog),
		zap.Strings("restart_keys", s.config.RestartKeys(reloaded)))
	s.log.Info("configuration reloaded", fields...)
	switchAddress(&s.config.Runtime, reloaded.Runtime, s.runtime.Open)
	switchAddress(&s.config.Index, reloaded.Index, s.index.AddressChanged)
	switchAddress(&s.config.Catalog, reloaded.Catalog, s.catalog.AddressChanged)
	return nil
}

// switchAddress sets the address and calls reconnect if the new address differs.
func switchAddress(address *string, reloaded string, reconnect func()) {
	if *address == reloaded {
		return
	}
	*address = reloaded
	reconnect()
}
