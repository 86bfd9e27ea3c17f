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
	sweepInterval  = 5 * time.Millisecond // between passes over the reporters
	idleFactor     = 3                    // multiple of reportingTime for the idle program, as CPU time has steps of 10 ms
	headerBytes    = 28                   // UDP and IPv4 headers per datagram
	listedSubset   = likelySubset
	reportInterval = 300 * time.Millisecond // interval of one instance's reports in internal/catalog
)

// reporterSocket is the socket of one simulated reporter. A write error means a lost report.
type reporterSocket struct{ net.Conn }

func (s reporterSocket) Write(p []byte) { _, _ = s.Conn.Write(p) }
func (s reporterSocket) Close()         { _ = s.Conn.Close() }

// measureReports measures the reports of the program and then those of simulated instances, which each have a socket in this process.
func (m *measurement) measureReports() error {
	if err := m.measureOwnReports(); err != nil {
		return err
	}
	reports := scale.Series{Name: "reports_s", SizeUnit: "members", Target: scale.TargetMembers,
		Coverage: "simulated instances, up to the target size"}
	bytes := reports
	reports.Name, bytes.Name = "reports_s", "report_bytes_s"
	list := reports
	list.Name, list.Coverage = "list_bytes", "one line with name and address per instance; the format is an assumption, as none is specified"
	for _, size := range m.workload.reporters {
		simulated, err := m.simulateReporters(size)
		if err != nil {
			return err
		}
		counts, n, seconds := simulated.counts, float64(size), m.workload.reportingTime.Seconds()
		wireBytes := counts.Bytes + counts.Reports*headerBytes
		reports.Points = append(reports.Points, scale.Point{Size: n, Value: float64(counts.Reports) / seconds})
		bytes.Points = append(bytes.Points, scale.Point{Size: n, Value: float64(wireBytes) / seconds})
		list.Points = append(list.Points, scale.Point{Size: n, Value: float64(len(simulated.list))})
		m.progress("%d reporters: %d reports, %d bytes in %v", size, counts.Reports, counts.Bytes, m.workload.reportingTime)
	}
	for _, s := range []scale.Series{reports, bytes, list} {
		if err := m.addSeries(s); err != nil {
			return err
		}
		m.result.Series[len(m.result.Series)-1].Role = "catalog"
	}
	return nil
}

// measureOwnReports measures the reports that the catalog receives from the program, and the CPU time of the idle program.
func (m *measurement) measureOwnReports() error {
	r, _, err := m.startRig(deploymentPlan{tenants: 2, classes: 1, sockets: maxSockets})
	if err != nil {
		return err
	}
	defer r.close()
	before, cpu, begin := r.catalog.Counts(), r.cpuTime(), time.Now()
	time.Sleep(idleFactor * m.workload.reportingTime)
	after, seconds := r.catalog.Counts(), time.Since(begin).Seconds()
	reports := float64(after.Reports - before.Reports)
	if reports == 0 {
		m.result.AddFault("catalog: found no report of the program after %v, expected at least one", m.workload.reportingTime)
		return nil
	}
	bytes := float64(after.Bytes - before.Bytes)
	m.result.SetFigure("report_bytes", bytes/reports)
	m.result.SetFigure("reports_s_member", reports/seconds)
	m.result.SetFigure("report_bytes_s_member_with_headers", (bytes+reports*headerBytes)/seconds)
	m.result.SetFigure("idle_processor_percent", float64(r.cpuTime()-cpu)/float64(time.Second)/seconds*100)
	return nil
}

// memberName returns the name of the n-th simulated instance, counted from 0.
func memberName(n int) string { return fmt.Sprintf("n%d", n+1) }

// simulatedReports is what the catalog has received from simulated instances.
type simulatedReports struct {
	counts fakecatalog.Counts
	list   []byte // encoded list of the instances in the catalog
}

// simulateReporters runs the program's reporter for size simulated instances, which report to a new catalog.
func (m *measurement) simulateReporters(size int) (simulatedReports, error) {
	c, address, err := fakecatalog.Start("127.0.0.1:0")
	if err != nil {
		return simulatedReports{}, err
	}
	defer c.Close()
	reporters := make([]*catalog.Reporter, size)
	for n := range reporters {
		socket, err := net.Dial("udp", address)
		if err != nil {
			return simulatedReports{}, err
		}
		defer socket.Close()
		reporters[n] = catalog.New(memberName(n), func(p loop.Handler) { p.Opened(reporterSocket{socket}) })
	}
	m.runReporters(reporters)
	counts := c.Counts()
	names := c.Names(time.Now())
	if len(names) != size {
		m.result.AddFault("catalog: found %d of %d simulated instances in the list, expected all", len(names), size)
	}
	if m.result.Figures["list_bytes_subset"] == 0 {
		subset := fakecatalog.EncodeList(names[:min(listedSubset, size)], listedAddress)
		m.result.SetFigure("list_bytes_subset", float64(len(subset)))
	}
	return simulatedReports{counts: counts, list: fakecatalog.EncodeList(names, listedAddress)}, m.ctx.Err()
}

// runReporters runs the reporters for the workload's reportingTime. Their first reports are spread over one interval.
func (m *measurement) runReporters(reporters []*catalog.Reporter) {
	begin := time.Now()
	for now := begin; now.Sub(begin) < m.workload.reportingTime && m.ctx.Err() == nil; now = time.Now() {
		due := len(reporters)
		if since := now.Sub(begin); since < reportInterval {
			due = int(float64(len(reporters)) * float64(since) / float64(reportInterval))
		}
		for _, reporter := range reporters[:due] {
			reporter.ReportIfDue(now, node.Healthy)
		}
		time.Sleep(sweepInterval)
	}
	time.Sleep(sweepInterval) // for datagrams that are still in the socket buffer
}

// listedAddress returns an address of typical length.
func listedAddress(string) string { return "10.12.104.101:8080" }
