// This file owns the elements fleet and log.

package operator

import (
	"fmt"
	"strconv"
	"time"

	"thymechute/internal/xsd"
)

// Fleet is membership with the other instances (internal/fleet/member).
type Fleet struct {
	Line      int      `xml:"-"`
	Seeds     []Broker `xml:"seed"`
	Bind      string   `xml:"bind,attr"`
	Advertise string   `xml:"advertise,attr"`
	Zone      string   `xml:"zone,attr"`
	Most      int      `xml:"most,attr"`
	ProbeMS   int      `xml:"probe-ms,attr"`
	SyncMS    int      `xml:"sync-ms,attr"`
	Log       *Log     `xml:"log"`
}

// Log is the fleet's agreed log (internal/fleet/log).
type Log struct {
	Line      int    `xml:"-"`
	Bind      string `xml:"bind,attr"`
	Advertise string `xml:"advertise,attr"`
	Voters    int    `xml:"voters,attr"`
	LeaseMS   int    `xml:"lease-ms,attr"`
	Found     string `xml:"found,attr"`

	FoundAt time.Time `xml:"-"` // from Found; zero: this member founds none
}

// check says what no schema can.
func (l *Log) check() (err error) {
	if l.Voters%2 == 0 {
		return &xsd.Fault{Line: l.Line, Element: "log", Found: fmt.Sprintf("voters=%q", strconv.Itoa(l.Voters)), Want: "3 or 5"}
	}
	if l.Found == "" {
		return nil
	}
	if l.FoundAt, err = time.Parse(time.RFC3339, l.Found); err != nil {
		return &xsd.Fault{Line: l.Line, Element: "log", Found: fmt.Sprintf("found=%q", l.Found), Want: "a time as 2026-12-02T03:04:05Z"}
	}
	return nil
}
