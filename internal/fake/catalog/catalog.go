// Package catalog is a fake of the catalog from which client stubs learn the addresses of instances. It receives reports in the
// platform's protocol ("alive NAME passing" in one UDP datagram, without an answer), keeps an entry until entryTTL after its last
// report, and counts what it received. The platform's documentation does not state how a list reaches a client stub; EncodeList
// is the smallest encoding that suffices.
//
// Its table holds the entries by name (at most maxEntries; reports of further names are rejected). Names removes the expired
// ones. A mutex guards the table. One goroutine reads the socket until Close.
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
	socketBufferBytes = 4 << 20 // holds the reports that arrive while this process is not scheduled
)

// Counts are the numbers of datagrams received so far.
type Counts struct {
	Reports, Bytes int // accepted reports, and their size without UDP and IP headers
	Malformed      int // datagrams that are not reports
	Rejected       int // reports of names beyond maxEntries
}

// Catalog is the fake catalog.
type Catalog struct {
	socket     *net.UDPConn
	goroutines sync.WaitGroup
	mu         sync.Mutex
	counts     Counts
	lastReport map[string]time.Time // time of the last report, by instance name
}

// Start listens on a loopback address and returns the bound address. It returns a *loopback.AddressError or the socket's error.
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
	c.goroutines.Add(1)
	go c.read()
	return c, socket.LocalAddr().String(), nil
}

// Close closes the socket and waits for the goroutine that reads it.
func (c *Catalog) Close() {
	c.socket.Close()
	c.goroutines.Wait()
}

// read records the datagrams that arrive at the socket, until it is closed.
func (c *Catalog) read() {
	defer c.goroutines.Done()
	buffer := make([]byte, maxReportBytes)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.record(time.Now(), string(buffer[:n]))
	}
}

// record counts a datagram and renews the entry of the instance that it reports.
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

// parseReport returns the instance name in a report; ok is false when the datagram is not a report.
func parseReport(report string) (name string, ok bool) {
	words := strings.Fields(report)
	if len(words) != 3 || words[0] != "alive" {
		return "", false
	}
	isState := words[2] == "passing" || words[2] == "critical"
	return words[1], isState
}

// Counts returns the numbers of datagrams received so far.
func (c *Catalog) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Names returns the sorted names of the entries that have not expired at time now, and removes the expired entries.
func (c *Catalog) Names(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.lastReport, func(_ string, last time.Time) bool { return now.Sub(last) > entryTTL })
	return slices.Sorted(maps.Keys(c.lastReport))
}

// EncodeList encodes a list of instances, with one line of name and address per instance.
func EncodeList(names []string, address func(name string) string) []byte {
	var list []byte
	for _, name := range names {
		list = fmt.Appendf(list, "%s %s\n", name, address(name))
	}
	return list
}
