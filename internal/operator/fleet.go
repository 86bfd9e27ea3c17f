package operator

import (
	"fmt"
	"strconv"
	"time"

	"thymechute/internal/xsd"
)

// Fleet configures this instance's membership in a fleet (package internal/fleet/membership).
type Fleet struct {
	Line            int        `xml:"-"`
	Seeds           []Endpoint `xml:"seed"` // members through which to join
	Bind            string     `xml:"bind,attr"`
	Advertise       string     `xml:"advertise,attr"` // "": the same as Bind
	Zone            string     `xml:"zone,attr"`
	Region          string     `xml:"region,attr"` // "": none
	MaxMembers      int        `xml:"most,attr"`
	ProbeIntervalMS int        `xml:"probe-ms,attr"`
	SyncIntervalMS  int        `xml:"sync-ms,attr"`
	Log             *Log       `xml:"log"` // nil: none
}

// Log configures the fleet's replicated log (package internal/fleet/consensus).
type Log struct {
	Line            int    `xml:"-"`
	Bind            string `xml:"bind,attr"`
	Advertise       string `xml:"advertise,attr"` // "": the same as Bind
	MaxVoters       int    `xml:"voters,attr"`
	LeaseDurationMS int    `xml:"lease-ms,attr"`
	BootstrapTime   string `xml:"found,attr"`

	BootstrapAt time.Time `xml:"-"` // BootstrapTime, parsed; zero: this member does not bootstrap the log
}

// maxLocationBytes is the maximum length of a zone or region in a member's record (package internal/fleet/membership).
const maxLocationBytes = 64

// validate checks what the schema cannot express, also for the log, and parses the log's bootstrap time.
func (f *Fleet) validate() error {
	for _, location := range []struct{ attribute, value string }{{"zone", f.Zone}, {"region", f.Region}} {
		if len(location.value) > maxLocationBytes {
			return &xsd.ValidationError{Line: f.Line, Element: "fleet", Found: fmt.Sprintf("%s=%q", location.attribute, location.value),
				Expected: fmt.Sprintf("at most %d bytes", maxLocationBytes)}
		}
	}
	if f.Log == nil {
		return nil
	}
	return f.Log.validateAndParse()
}

// validateAndParse validates what the schema cannot express, and parses the bootstrap time.
func (l *Log) validateAndParse() (err error) {
	if l.MaxVoters%2 == 0 {
		return &xsd.ValidationError{Line: l.Line, Element: "log", Found: fmt.Sprintf("voters=%q", strconv.Itoa(l.MaxVoters)), Expected: "3 or 5"}
	}
	if l.BootstrapTime == "" {
		return nil
	}
	if l.BootstrapAt, err = time.Parse(time.RFC3339, l.BootstrapTime); err != nil {
		return &xsd.ValidationError{Line: l.Line, Element: "log", Found: fmt.Sprintf("found=%q", l.BootstrapTime),
			Expected: "an RFC 3339 time such as 2026-12-02T03:04:05Z"}
	}
	return nil
}
