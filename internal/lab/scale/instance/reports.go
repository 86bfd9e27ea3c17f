// This file owns the reports to the catalog, as the program sends them and as 1,200 hollow instances do: the program's own
// reporter, each with a socket, in this process.

package instance

import (
	"fmt"
	"net"
	"time"

	"thymechute/internal/catalog"
	fakecatalog "thymechute/internal/fake/catalog"
	"thymechute/internal/lab/scale"
	"thymechute/internal/loop"
	"thymechute/internal/node"
)

const (
	sweepGap     = 5 * time.Millisecond // between two looks at which reports are due
	idleFactor   = 3                    // times as long for the program's own: its processor time counts in steps of 10 ms
	headerBytes  = 28                   // of UDP and IP version 4, a datagram
	subsetListed = likelySubset
	reportGap    = 300 * time.Millisecond // between two reports of one instance, by internal/catalog
)

// hollow is the socket of one hollow instance.
type hollow struct{ net.Conn }

func (h hollow) Write(p []byte) { _, _ = h.Conn.Write(p) }
func (h hollow) Close()         { _ = h.Conn.Close() }

// reports measures the program's own first, then hollow ones.
func (m *measuring) reports() error {
	if err := m.ownReports(); err != nil {
		return err
	}
	reports := scale.Series{Name: "reports_s", Of: "members", Target: scale.TargetMembers, Ran: "hollow instances, at size"}
	bytes := reports
	reports.Name, bytes.Name = "reports_s", "report_bytes_s"
	list := reports
	list.Name, list.Ran = "list_bytes", "a line of name and address each: the page states no form"
	for _, size := range m.sizes.reporters {
		counts, listed, err := m.hollowReports(size)
		if err != nil {
			return err
		}
		n := float64(size)
		reports.Points = append(reports.Points, scale.Point{Size: n, Value: float64(counts.Reports) / m.sizes.reporting.Seconds()})
		bytes.Points = append(bytes.Points, scale.Point{Size: n,
			Value: float64(counts.Bytes+counts.Reports*headerBytes) / m.sizes.reporting.Seconds()})
		list.Points = append(list.Points, scale.Point{Size: n, Value: float64(len(listed))})
		m.say("%d reporters: %d reports, %d bytes in %v", size, counts.Reports, counts.Bytes, m.sizes.reporting)
	}
	for _, s := range []scale.Series{reports, bytes, list} {
		if err := m.add(s); err != nil {
			return err
		}
		m.result.Series[len(m.result.Series)-1].Role = "catalog"
	}
	return nil
}

// ownReports are those of the program, counted at the catalog's socket; its processor time meanwhile is that of an idle instance.
func (m *measuring) ownReports() error {
	r, _, err := m.start(deployment{tenants: 2, classes: 1, sockets: sockets})
	if err != nil {
		return err
	}
	defer r.end()
	before, used, begin := r.catalog.Counts(), r.processor(), time.Now()
	time.Sleep(idleFactor * m.sizes.reporting)
	after, span := r.catalog.Counts(), time.Since(begin).Seconds()
	reports := float64(after.Reports - before.Reports)
	if reports == 0 {
		m.result.Fault("no report of the program reached the catalog in %v", m.sizes.reporting)
		return nil
	}
	bytes := float64(after.Bytes - before.Bytes)
	m.result.Put("report_bytes", bytes/reports)
	m.result.Put("reports_s_member", reports/span)
	m.result.Put("report_bytes_s_member_with_headers", (bytes+reports*headerBytes)/span)
	m.result.Put("idle_processor_percent", float64(r.processor()-used)/float64(time.Second)/span*100)
	return nil
}

func memberName(n int) string { return fmt.Sprintf("n%d", n+1) }

// hollowReports lets so many report for a while, their first ones spread over the gap between two.
func (m *measuring) hollowReports(size int) (fakecatalog.Counts, []byte, error) {
	c, address, err := fakecatalog.Start("127.0.0.1:0")
	if err != nil {
		return fakecatalog.Counts{}, nil, err
	}
	defer c.Close()
	reporters := make([]*catalog.Reporter, size)
	for n := range reporters {
		socket, err := net.Dial("udp", address)
		if err != nil {
			return fakecatalog.Counts{}, nil, err
		}
		defer socket.Close()
		reporters[n] = catalog.New(memberName(n), func(p loop.Handler) { p.Opened(hollow{socket}) })
	}
	begin := time.Now()
	for now := begin; now.Sub(begin) < m.sizes.reporting && m.ctx.Err() == nil; now = time.Now() {
		due := size // of the first reports, that they spread
		if since := now.Sub(begin); since < reportGap {
			due = int(float64(size) * float64(since) / float64(reportGap))
		}
		for _, reporter := range reporters[:due] {
			reporter.Sweep(now, node.Healthy)
		}
		time.Sleep(sweepGap)
	}
	time.Sleep(sweepGap) // for what is still in the socket
	counts := c.Counts()
	names := c.Names(time.Now())
	if len(names) != size {
		m.result.Fault("%d of %d hollow instances listed", len(names), size)
	}
	if m.result.Single["list_bytes_subset"] == 0 {
		m.result.Put("list_bytes_subset", float64(len(fakecatalog.EncodeList(names[:min(subsetListed, size)], listedAddress))))
	}
	return counts, fakecatalog.EncodeList(names, listedAddress), m.ctx.Err()
}

// listedAddress is one of usual length.
func listedAddress(string) string { return "10.12.104.101:8080" }
