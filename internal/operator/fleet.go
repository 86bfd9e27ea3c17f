// This file owns the elements fleet and log.

package operator

import (
	"fmt"
	"strconv"
	"time"

	"thymechute/internal/xsd"
)

// Fleet is membership with the other instances (internal/fleet/membership).
type Fleet struct {
	Line      int      `xml:"-"`
	Seeds     []Broker `xml:"seed"`
	Bind      string   `xml:"bind,attr"`
	Advertise string   `xml:"advertise,attr"`
	Zone      string   `xml:"zone,attr"`
	Region    string   `xml:"region,attr"` // "": not told
	Most      int      `xml:"most,attr"`
	ProbeMS   int      `xml:"probe-ms,attr"`
	SyncMS    int      `xml:"sync-ms,attr"`
	Log       *Log     `xml:"log"`
}

// Log is the fleet's agreed log (internal/fleet/consensus).
type Log struct {
	Line      int    `xml:"-"`
	Bind      string `xml:"bind,attr"`
	Advertise string `xml:"advertise,attr"`
	Voters    int    `xml:"voters,attr"`
	LeaseMS   int    `xml:"lease-ms,attr"`
	Found     string `xml:"found,attr"`

	FoundAt time.Time `xml:"-"` // from Found; zero: this member founds none
}

// mostPlaceBytes is the longest zone or region that a member's record carries (internal/fleet/membership).
const mostPlaceBytes = 64

// check says what no schema can, of the log too.
func (f *Fleet) check() error {
	for _, place := range []struct{ name, value string }{{"zone", f.Zone}, {"region", f.Region}} {
		if len(place.value) > mostPlaceBytes {
			return &xsd.Fault{Line: f.Line, Element: "fleet", Found: fmt.Sprintf("%s=%q", place.name, place.value),
				Want: fmt.Sprintf("at most %d bytes", mostPlaceBytes)}
		}
	}
	if f.Log == nil {
		return nil
	}
	return f.Log.check()
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
