// Package catalog is a stand-in for the catalog that client stubs learn of instances from: it takes the reports of the
// platform's protocol ("alive NAME passing", one datagram, no answer), keeps an entry 3 s after its last report, and
// counts what came. The protocol's page does not state how a list reaches a client stub; List is the smallest that
// would do, a line of name and address each. It must never answer a report, nor be linked by the instance.
//
// Its table: entries by name (mostEntries; a name beyond that is counted as refused), emptied by time when listed.
package catalog

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	mostEntries = 1 << 14
	entryLasts  = 3 * time.Second
	longest     = 2048    // bytes of a report
	readBuffer  = 4 << 20 // bytes: reports that come while this process does not run
)

// Counts are what came since the start.
type Counts struct {
	Reports, Bytes int // datagrams that were reports, and the bytes in them (without headers of UDP and IP)
	Faulty         int // datagrams that were none
	Refused        int // for want of room
}

// Catalog is the stand-in.
type Catalog struct {
	socket *net.UDPConn
	done   sync.WaitGroup
	mu     sync.Mutex
	counts Counts
	seen   map[string]time.Time
}

// Start listens at a loopback address.
func Start(address string) (*Catalog, string, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().IsLoopback() {
		return nil, "", fmt.Errorf("catalog: found %q, expected a loopback address and a port", address)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, "", err
	}
	_ = socket.SetReadBuffer(readBuffer)
	c := &Catalog{socket: socket, seen: map[string]time.Time{}}
	c.done.Add(1)
	go c.read()
	return c, socket.LocalAddr().String(), nil
}

// Close ends it.
func (c *Catalog) Close() {
	c.socket.Close()
	c.done.Wait()
}

func (c *Catalog) read() {
	defer c.done.Done()
	buffer := make([]byte, longest)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.take(time.Now(), string(buffer[:n]))
	}
}

func (c *Catalog) take(now time.Time, report string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	words := strings.Fields(report)
	if len(words) != 3 || words[0] != "alive" || words[2] != "passing" && words[2] != "critical" {
		c.counts.Faulty++
		return
	}
	if _, known := c.seen[words[1]]; !known && len(c.seen) >= mostEntries {
		c.counts.Refused++
		return
	}
	c.seen[words[1]] = now
	c.counts.Reports++
	c.counts.Bytes += len(report)
}

// Counts are what came so far.
func (c *Catalog) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Names are those of the entries that stand at the time, in order; the others go.
func (c *Catalog) Names(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.seen, func(_ string, last time.Time) bool { return now.Sub(last) > entryLasts })
	return slices.Sorted(maps.Keys(c.seen))
}

// List is the entries with their addresses, a line each.
func List(names []string, address func(name string) string) []byte {
	var list []byte
	for _, name := range names {
		list = fmt.Appendf(list, "%s %s\n", name, address(name))
	}
	return list
}
