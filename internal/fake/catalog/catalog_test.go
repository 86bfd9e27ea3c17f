package catalog

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

// startCatalog starts a catalog and returns it with a socket that sends to it.
func startCatalog(t *testing.T) (*Catalog, net.Conn) {
	t.Helper()
	c, address, err := Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	sender, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.Close() })
	return c, sender
}

// waitForDatagrams waits until the catalog has received that many datagrams.
func (c *Catalog) waitForDatagrams(t *testing.T, datagrams int) Counts {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if counts := c.Counts(); counts.Reports+counts.Malformed+counts.Rejected == datagrams {
			return counts
		}
	}
	t.Fatalf("counts after 10 s: %+v, expected %d datagrams", c.Counts(), datagrams)
	return Counts{}
}

func TestReportsAreCountedAndListed(t *testing.T) {
	c, sender := startCatalog(t)
	reports := []string{"alive n2 passing", "alive n1 critical", "alive n2 passing", "alive n3", "gone n1 passing", "alive n1 well"}
	for _, report := range reports {
		fmt.Fprint(sender, report)
	}
	counts := c.waitForDatagrams(t, len(reports))
	if want := (Counts{Reports: 3, Bytes: len(reports[0]) + len(reports[1]) + len(reports[2]), Malformed: 3}); counts != want {
		t.Errorf("counts %+v, expected %+v", counts, want)
	}
	if names := c.Names(time.Now()); !slices.Equal(names, []string{"n1", "n2"}) {
		t.Errorf("listed %v, expected n1 and n2", names)
	}
}

func TestEntryExpiresThreeSecondsAfterItsLastReport(t *testing.T) {
	c := &Catalog{lastReport: map[string]time.Time{}}
	start := time.Now()
	c.record(start, "alive n1 passing")
	c.record(start.Add(2*time.Second), "alive n2 passing")
	if names := c.Names(start.Add(3 * time.Second)); len(names) != 2 {
		t.Errorf("listed %v 3 s after the report of n1, expected n1 and n2", names)
	}
	if names := c.Names(start.Add(3*time.Second + 1)); !slices.Equal(names, []string{"n2"}) {
		t.Errorf("listed %v over 3 s after the report of n1, expected n2 only", names)
	}
}

func TestEntriesAreBounded(t *testing.T) {
	c := &Catalog{lastReport: map[string]time.Time{}}
	for n := range maxEntries + 1 {
		c.record(time.Time{}, fmt.Sprintf("alive n%d passing", n))
	}
	c.record(time.Time{}, "alive n0 passing")
	if counts := c.Counts(); counts.Rejected != 1 || counts.Reports != maxEntries+1 || len(c.lastReport) != maxEntries {
		t.Errorf("counts %+v with %d entries, expected one report rejected and no further entry", counts, len(c.lastReport))
	}
}

func TestEncodeList(t *testing.T) {
	list := EncodeList([]string{"n1", "n2"}, func(name string) string { return "10.0.0." + name[1:] + ":8080" })
	if string(list) != "n1 10.0.0.1:8080\nn2 10.0.0.2:8080\n" {
		t.Errorf("list encoded as %q", list)
	}
}

func TestStartAcceptsOnlyLoopback(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "10.0.0.1:8761", "nowhere"} {
		if c, _, err := Start(address); err == nil {
			c.Close()
			t.Errorf("Start(%q): no error, expected a *loopback.AddressError", address)
		}
	}
}
