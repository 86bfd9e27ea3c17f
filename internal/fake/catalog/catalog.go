// Package catalog is a fake of the catalog from which client stubs learn of instances. It receives the reports of the platform's
// protocol ("alive NAME passing", one UDP datagram, no answer), keeps an entry until entryTTL after its last report, and counts
// what it received. The protocol's page does not state how a list reaches a client stub; EncodeList is the smallest encoding
// that would do.
//
// Its table is the entries by name (maxEntries; reports of further names are rejected), expired when they are listed. A mutex
// guards it; a goroutine reads the socket until Close.
package catalog

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"thymechute/internal/fake/loopback"
)

const (
	maxEntries        = 1 << 14
	entryTTL          = 3 * time.Second
	maxReportBytes    = 2048
	socketBufferBytes = 4 << 20 // for reports that arrive while this process is not scheduled
)

// Counts are the datagrams received so far.
type Counts struct {
	Reports, Bytes int // accepted reports, and their bytes without UDP and IP headers
	Malformed      int // datagrams that are no report
	Rejected       int // reports of names beyond maxEntries
}

// Catalog is the fake catalog.
type Catalog struct {
	socket     *net.UDPConn
	done       sync.WaitGroup
	mu         sync.Mutex
	counts     Counts
	lastReport map[string]time.Time
}

// Start listens at a loopback address and returns the bound address. Its error is a *loopback.AddressError or that of the socket.
func Start(address string) (*Catalog, string, error) {
	parsed, err := loopback.Parse(address)
	if err != nil {
		return nil, "", fmt.Errorf("catalog: %w", err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, "", err
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	c := &Catalog{socket: socket, lastReport: map[string]time.Time{}}
	c.done.Add(1)
	go c.read()
	return c, socket.LocalAddr().String(), nil
}

// Close closes the socket and waits until the catalog no longer reads.
func (c *Catalog) Close() {
	c.socket.Close()
	c.done.Wait()
}

// read records the datagrams of the socket until it is closed.
func (c *Catalog) read() {
	defer c.done.Done()
	buffer := make([]byte, maxReportBytes)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.record(time.Now(), string(buffer[:n]))
	}
}

// record counts a datagram, and renews the entry of the report's name.
func (c *Catalog) record(now time.Time, report string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, ok := parseReport(report)
	if !ok {
		c.counts.Malformed++
		return
	}
	if _, known := c.lastReport[name]; !known && len(c.lastReport) >= maxEntries {
		c.counts.Rejected++
		return
	}
	c.lastReport[name] = now
	c.counts.Reports++
	c.counts.Bytes += len(report)
}

// parseReport returns the instance name of a report.
func parseReport(report string) (name string, ok bool) {
	words := strings.Fields(report)
	if len(words) != 3 || words[0] != "alive" {
		return "", false
	}
	isState := words[2] == "passing" || words[2] == "critical"
	return words[1], isState
}

// Counts returns the counts so far.
func (c *Catalog) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Names returns the names of the entries that have not expired at the time, sorted, and removes the expired ones.
func (c *Catalog) Names(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.lastReport, func(_ string, last time.Time) bool { return now.Sub(last) > entryTTL })
	return slices.Sorted(maps.Keys(c.lastReport))
}

// EncodeList encodes a list of instances: a line of name and address each.
func EncodeList(names []string, address func(name string) string) []byte {
	var list []byte
	for _, name := range names {
		list = fmt.Appendf(list, "%s %s\n", name, address(name))
	}
	return list
}
