// This file owns a fleet of instances with membership on, each with a stand-in runtime of its own and a proxy of the fault
// network before its address.

package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"thymechute/internal/fake/faultnet"
	"thymechute/internal/fake/runtime"
)

// fleetSettings is the operator's file of one member; fast probes and exchanges, as on loopback they cost little.
const fleetSettings = `<thymechute xmlns="urn:thymechute:operator:1">
  <fleet bind="%s" advertise="%s" zone="z1" probe-ms="150" sync-ms="500">%s</fleet>
</thymechute>
`

// agreeLimit is how long Agree waits for all to agree.
const agreeLimit = 10 * time.Second

// mostMembers is how many names a fleet may have: each has an address of its own in 127.0.1.0/24 and 127.0.2.0/24.
const mostMembers = 250

// Fleet is N instances and their runtimes. Its tables hold an entry a name, mostMembers at most, and a runtime
// a start, until End.
type Fleet struct {
	program, folder string
	seed            uint64
	members         map[string]*Instance
	binds           map[string]string // fleet address of each name, kept over restarts: 127.0.1.N
	fronts          map[string]string // the address of its proxy, which it advertises: 127.0.2.N
	first           string            // the first member's proxy: the seed of all
	Net             *faultnet.Network
	closers         []func()
}

// NewFleet prepares a fleet with nobody in it; End must be called.
func NewFleet(program, folder string, seed uint64) *Fleet {
	return &Fleet{program: program, folder: folder, seed: seed, members: map[string]*Instance{}, binds: map[string]string{},
		fronts: map[string]string{}, Net: faultnet.New(seed)}
}

// End kills what runs.
func (f *Fleet) End() {
	for _, i := range f.members {
		i.Kill()
	}
	for _, end := range f.closers {
		end()
	}
	f.Net.Close()
}

// Start starts a member, cold; under a name it had before, at the same addresses. The n-th new name, from 1 on, binds
// 127.0.1.n and is reached through its proxy at 127.0.2.n, so that the proxies know senders by their IP.
func (f *Fleet) Start(name string) error {
	bind, ok := f.binds[name]
	if !ok {
		n := len(f.binds) + 1
		if n > mostMembers {
			return fmt.Errorf("fleet rig: more than %d members", mostMembers)
		}
		var err error
		if bind, err = faultnet.FreeAddress(fmt.Sprintf("127.0.1.%d", n)); err != nil {
			return err
		}
		front, err := faultnet.FreeAddress(fmt.Sprintf("127.0.2.%d", n))
		if err != nil {
			return err
		}
		if err := f.Net.StartProxy(name, bind, front); err != nil {
			return err
		}
		f.binds[name], f.fronts[name] = bind, front
	}
	front := f.fronts[name]
	seeds := ""
	if f.first == "" {
		f.first = front
	} else if front != f.first {
		seeds = fmt.Sprintf(`<seed address="%s"/>`, f.first)
	}
	settings := filepath.Join(f.folder, name+".xml")
	if err := os.WriteFile(settings, fmt.Appendf(nil, fleetSettings, bind, front, seeds), 0o600); err != nil {
		return err
	}
	rt, address, err := runtime.Start("127.0.0.1:0", Brief, func(string, []byte) {})
	if err != nil {
		return err
	}
	f.closers = append(f.closers, rt.Close)
	i, err := Launch(f.program, f.folder, name, address, settings, MemoryMB, f.seed+uint64(len(f.binds)))
	if err != nil {
		return err
	}
	f.members[name] = i
	return nil
}

// Member is the instance of that name, as it was started last; nil where none was, or it was forgotten.
func (f *Fleet) Member(name string) *Instance { return f.members[name] }

// Forget takes a member that has ended out of the fleet's table; its addresses are kept for a start under the same name.
func (f *Fleet) Forget(name string) { delete(f.members, name) }

// DeclaredGone counts the "member left" lines that the named members have logged so far.
func (f *Fleet) DeclaredGone(names []string) int {
	n := 0
	for _, name := range names {
		n += strings.Count(f.members[name].Log(), "\tmember left\t")
	}
	return n
}
