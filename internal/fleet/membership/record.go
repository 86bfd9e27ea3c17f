// This file owns the record that each member carries, and its check. It must never take one that breaks a bound.

package membership

import (
	"encoding/json"
	"fmt"

	"github.com/hashicorp/memberlist"
)

// Version is that of Record; a member with another is refused until both speak it.
const Version = 1

// Record is what a member says of itself; at most memberlist.MetaMaxSize (512) bytes as JSON.
type Record struct {
	V        int     `json:"v"`
	Name     string  `json:"name"`               // its member name again, so that a record can't be worn by another
	Zone     string  `json:"zone"`               // up to 64 bytes
	Region   string  `json:"region,omitempty"`   // up to 64 bytes; a build that does not know it reads past it
	Epoch    uint64  `json:"epoch"`              // when it joined, in the fleet's epochs; ties go by name
	Rank     int     `json:"rank"`               // the rank it holds, -1 for none (internal/decide/subset)
	Capacity float64 `json:"capacity,omitempty"` // work items a second it can take, 0 and more
	LagMS    int     `json:"lag_ms,omitempty"`   // its lag, 0 and more
	Flag     string  `json:"flag,omitempty"`     // "", "leaving", "overloaded"
	Share    float64 `json:"share,omitempty"`    // of what the fleet sheds, that it holds, 0 to 1
	Process  string  `json:"process,omitempty"`  // its identity in the agreed log, of this life alone; up to 96 bytes
	Log      string  `json:"log,omitempty"`      // host:port at which the log reaches it
	Applied  uint64  `json:"applied,omitempty"`  // the log's last entry that it has applied, lately
	Release  string  `json:"release,omitempty"`  // that it runs; up to 64 bytes
}

// check says what is wrong with a record heard from name, in one line.
func (r Record) check(name string) error {
	switch {
	case r.V != Version:
		return fmt.Errorf("record of %q: version found %d, expected %d", name, r.V, Version)
	case r.Name != name:
		return fmt.Errorf("record of %q: name found %q, expected its own", name, r.Name)
	case len(r.Process) > 96 || len(r.Log) > 64:
		return fmt.Errorf("record of %q: process and log found %d and %d bytes, expected at most 96 and 64", name, len(r.Process), len(r.Log))
	case len(r.Release) > 64:
		return fmt.Errorf("record of %q: release found %d bytes, expected at most 64", name, len(r.Release))
	case len(r.Zone) > 64:
		return fmt.Errorf("record of %q: zone found %d bytes, expected at most 64", name, len(r.Zone))
	case len(r.Region) > 64:
		return fmt.Errorf("record of %q: region found %d bytes, expected at most 64", name, len(r.Region))
	case r.Capacity < 0 || r.LagMS < 0 || r.Share < 0 || r.Share > 1 || r.Rank < -1:
		return fmt.Errorf("record of %q: capacity %g, lag %d, share %g, rank %d: expected 0 and more, share to 1, rank from -1",
			name, r.Capacity, r.LagMS, r.Share, r.Rank)
	case r.Flag != "" && r.Flag != "leaving" && r.Flag != "overloaded":
		return fmt.Errorf("record of %q: flag found %q, expected leaving, overloaded or none", name, r.Flag)
	}
	return nil
}

// Read decodes a record as it comes in node metadata.
func Read(name string, meta []byte) (Record, error) {
	var r Record
	if len(meta) > memberlist.MetaMaxSize {
		return r, fmt.Errorf("record of %q: found %d bytes, expected at most %d", name, len(meta), memberlist.MetaMaxSize)
	}
	if err := json.Unmarshal(meta, &r); err != nil {
		return r, fmt.Errorf("record of %q: found no JSON object (%v)", name, err)
	}
	return r, r.check(name)
}
