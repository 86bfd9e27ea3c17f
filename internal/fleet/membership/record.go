package membership

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// RecordVersion is the version of the Record format; members with another version are rejected.
const RecordVersion = 1

// Maximum sizes of a record's string fields, in bytes.
const (
	maxLocationBytes   = 64 // zone and region
	maxProcessBytes    = 96
	maxLogAddressBytes = 64
	maxReleaseBytes    = 64
)

// Flag marks a member that is leaving or overloaded.
type Flag string

// The flags.
const (
	FlagNone       Flag = ""
	FlagLeaving    Flag = "leaving"
	FlagOverloaded Flag = "overloaded"
)

// Record is what a member publishes about itself by gossip, encoded as JSON of at most memberlist.MetaMaxSize (512) bytes.
type Record struct {
	Version      int     `json:"v"`
	Name         string  `json:"name"`               // the member's name; a record under another member's name is rejected
	Zone         string  `json:"zone"`               // at most 64 bytes
	Region       string  `json:"region,omitempty"`   // at most 64 bytes; older builds ignore it
	Epoch        uint64  `json:"epoch"`              // when the member joined; equal epochs are ordered by name
	Rank         int     `json:"rank"`               // the member's rank, -1 for none (internal/decide/subset)
	Capacity     float64 `json:"capacity,omitempty"` // work items per second, at least 0
	LagMS        int     `json:"lag_ms,omitempty"`   // scheduling lag in milliseconds, at least 0
	Flag         Flag    `json:"flag,omitempty"`
	ShedQuota    float64 `json:"share,omitempty"`   // its quota of the load that the fleet sheds, 0 to 1
	Process      string  `json:"process,omitempty"` // ID of this incarnation in the replicated log; at most 96 bytes
	LogAddress   string  `json:"log,omitempty"`     // host:port of the replicated log's transport; at most 64 bytes
	AppliedIndex uint64  `json:"applied,omitempty"` // log index up to which the member has applied entries; may be outdated
	Release      string  `json:"release,omitempty"` // the release that the member runs; at most 64 bytes
}

// validate checks a record that is published by the named member.
func (r Record) validate(name string) error {
	invalid := func(field, found, expected string) error {
		return &RecordError{Member: name, Field: field, Found: found, Expected: expected}
	}
	if r.Version != RecordVersion {
		return invalid("version", strconv.Itoa(r.Version), strconv.Itoa(RecordVersion))
	}
	if r.Name != name {
		return invalid("name", strconv.Quote(r.Name), strconv.Quote(name))
	}
	for _, text := range []struct {
		field, value string
		maxBytes     int
	}{
		{"process", r.Process, maxProcessBytes},
		{"log", r.LogAddress, maxLogAddressBytes},
		{"release", r.Release, maxReleaseBytes},
		{"zone", r.Zone, maxLocationBytes},
		{"region", r.Region, maxLocationBytes},
	} {
		if len(text.value) > text.maxBytes {
			return invalid(text.field, fmt.Sprintf("%d bytes", len(text.value)), fmt.Sprintf("at most %d", text.maxBytes))
		}
	}
	switch {
	case r.Capacity < 0:
		return invalid("capacity", fmt.Sprint(r.Capacity), "at least 0")
	case r.LagMS < 0:
		return invalid("lag_ms", strconv.Itoa(r.LagMS), "at least 0")
	case r.ShedQuota < 0 || r.ShedQuota > 1:
		return invalid("share", fmt.Sprint(r.ShedQuota), "0 to 1")
	case r.Rank < -1:
		return invalid("rank", strconv.Itoa(r.Rank), "-1 or more")
	case r.Flag != FlagNone && r.Flag != FlagLeaving && r.Flag != FlagOverloaded:
		return invalid("flag", strconv.Quote(string(r.Flag)), "leaving, overloaded or none")
	}
	return nil
}

// encode returns the record as node metadata.
func (r Record) encode() ([]byte, error) {
	metadata, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(metadata) > memberlist.MetaMaxSize {
		return nil, recordTooLong(r.Name, metadata)
	}
	return metadata, nil
}

// DecodeRecord decodes and validates the node metadata of the named member. Errors are *RecordError.
func DecodeRecord(name string, metadata []byte) (Record, error) {
	var record Record
	if len(metadata) > memberlist.MetaMaxSize {
		return record, recordTooLong(name, metadata)
	}
	if err := json.Unmarshal(metadata, &record); err != nil {
		return record, &RecordError{Member: name, Found: "invalid JSON", Expected: "a JSON object", Err: err}
	}
	return record, record.validate(name)
}

func recordTooLong(name string, metadata []byte) error {
	return &RecordError{Member: name, Found: fmt.Sprintf("%d bytes", len(metadata)),
		Expected: fmt.Sprintf("at most %d", memberlist.MetaMaxSize)}
}

// withoutLoad returns the record with the fields that a load update may change set to zero.
func (r Record) withoutLoad() Record {
	r.Capacity = 0
	r.LagMS = 0
	r.ShedQuota = 0
	r.AppliedIndex = 0
	return r
}
