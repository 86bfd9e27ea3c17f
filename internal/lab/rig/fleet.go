package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"thymechute/internal/fake/faultnet"
	"thymechute/internal/fake/runtime"
)

// fleetSettingsTemplate is the operator's file of one member. Its parameters are the addresses to bind and to advertise, and the seed
// elements. The intervals of probes and of push/pulls are short, as both cost little on loopback.
const fleetSettingsTemplate = `<thymechute xmlns="urn:thymechute:operator:1">
  <fleet bind="%s" advertise="%s" zone="z1" probe-ms="150" sync-ms="500">%s</fleet>
</thymechute>
`

// maxMembers is the limit on the names of a fleet: each has an IP of its own in 127.0.1.0/24 and one in 127.0.2.0/24.
const maxMembers = 250

// Fleet is a fleet of instances, each with a fake runtime and with a proxy of the fault network in front of its address.
type Fleet struct {
	Network *faultnet.Network

	program, folder string
	seed            uint64
	members         map[string]*Instance
	addresses       map[string]memberAddresses // by name; kept for restarts
	seedAddress     string                     // of the first member's proxy; the others join by it
	closeRuntimes   []func()
}

// memberAddresses are the address that a member binds and that at which the others reach it.
type memberAddresses struct {
	bind  string // in 127.0.1.0/24
	proxy string // in 127.0.2.0/24, advertised to the others
}

// NewFleet returns a fleet without members. The caller must call Close.
func NewFleet(program, folder string, seed uint64) *Fleet {
	return &Fleet{Network: faultnet.New(seed), program: program, folder: folder, seed: seed, members: map[string]*Instance{},
		addresses: map[string]memberAddresses{}}
}

// Close kills all members and closes their runtimes and the network.
func (f *Fleet) Close() {
	for _, member := range f.members {
		member.Kill()
	}
	for _, closeRuntime := range f.closeRuntimes {
		closeRuntime()
	}
	f.Network.Close()
}

// StartMember starts a member without state. A name that was used before keeps its addresses.
func (f *Fleet) StartMember(name string) error {
	addresses, err := f.assignAddresses(name)
	if err != nil {
		return err
	}
	settings, err := f.writeSettings(name, addresses)
	if err != nil {
		return err
	}
	fake, runtimeAddress, err := runtime.Start("127.0.0.1:0", ShortRun, func(string, []byte) {})
	if err != nil {
		return err
	}
	f.closeRuntimes = append(f.closeRuntimes, fake.Close)
	member, err := Launch(LaunchOptions{
		Program:        f.program,
		Folder:         f.folder,
		Name:           name,
		RuntimeAddress: runtimeAddress,
		SettingsPath:   settings,
		Seed:           f.seed + uint64(len(f.addresses)),
	})
	if err != nil {
		return err
	}
	f.members[name] = member
	return nil
}

// assignAddresses returns a member's addresses, and starts its proxy when the name is new. The n-th new name, counted from 1, binds
// 127.0.1.n and is reached through its proxy at 127.0.2.n, so that the proxies can identify senders by their IP.
func (f *Fleet) assignAddresses(name string) (memberAddresses, error) {
	if known, ok := f.addresses[name]; ok {
		return known, nil
	}
	number := len(f.addresses) + 1
	if number > maxMembers {
		return memberAddresses{}, fmt.Errorf("fleet of processes: found a further member, expected at most %d", maxMembers)
	}
	bind, err := faultnet.FreeAddress(fmt.Sprintf("127.0.1.%d", number))
	if err != nil {
		return memberAddresses{}, err
	}
	proxy, err := faultnet.FreeAddress(fmt.Sprintf("127.0.2.%d", number))
	if err != nil {
		return memberAddresses{}, err
	}
	if err := f.Network.StartProxy(name, bind, proxy); err != nil {
		return memberAddresses{}, err
	}
	f.addresses[name] = memberAddresses{bind: bind, proxy: proxy}
	return f.addresses[name], nil
}

// writeSettings writes the operator's file of a member and returns its path. The first member becomes the seed of the
// others.
func (f *Fleet) writeSettings(name string, addresses memberAddresses) (path string, err error) {
	seeds := ""
	switch f.seedAddress {
	case "":
		f.seedAddress = addresses.proxy
	case addresses.proxy:
	default:
		seeds = fmt.Sprintf(`<seed address="%s"/>`, f.seedAddress)
	}
	path = filepath.Join(f.folder, name+".xml")
	return path, os.WriteFile(path, fmt.Appendf(nil, fleetSettingsTemplate, addresses.bind, addresses.proxy, seeds), 0o600)
}

// Member returns the instance that was last started under a name; nil if there is none or it was removed.
func (f *Fleet) Member(name string) *Instance { return f.members[name] }

// Remove removes a member that has ended. Its addresses are kept for a start under the same name.
func (f *Fleet) Remove(name string) { delete(f.members, name) }

// CountDepartures returns the number of departures and failures of other members that the named members have logged so far.
func (f *Fleet) CountDepartures(names []string) int {
	count := 0
	for _, name := range names {
		count += strings.Count(f.members[name].Log(), "\tmember left\t")
	}
	return count
}
