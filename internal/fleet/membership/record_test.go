package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/hashicorp/memberlist"

	"thymechute/internal/testutil"
)

func encoded(t *testing.T, r Record) []byte {
	t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestRegionIsLimitedTo64Bytes(t *testing.T) {
	for _, region := range []string{"", "eu-west", strings.Repeat("r", 64)} {
		want := Record{Version: RecordVersion, Name: "a", Zone: "z1", Region: region, Rank: -1}
		if got, err := DecodeRecord("a", encoded(t, want)); err != nil || got != want {
			t.Errorf("region %q: decoded %+v, %v", region, got, err)
		}
	}
	_, err := DecodeRecord("a", encoded(t, Record{Version: RecordVersion, Name: "a", Zone: "z1", Region: strings.Repeat("r", 65), Rank: -1}))
	if err == nil || !strings.Contains(err.Error(), `record of member "a": field region found 65 bytes, expected at most 64`) {
		t.Errorf("a region of 65 bytes: %v", err)
	}
	if m, err := Start(Config{Name: "a", Bind: freeAddress(t, 21), MaxMembers: 4, Record: Record{Region: strings.Repeat("r", 65)}}, &updateCounter{}); err == nil {
		_ = m.Shutdown()
		t.Error("a member started with a region of 65 bytes")
	}
}

// A record with all strings at their maximum sizes, and with long numbers, fits into the node metadata.
func TestRecordOfMaximumSizeFitsIntoMetadata(t *testing.T) {
	name := strings.Repeat("n", 96-len("#0123456789a")) // a process is named by the member's name and the incarnation
	r := Record{Version: RecordVersion, Name: name, Zone: strings.Repeat("z", 64), Region: strings.Repeat("r", 64), Epoch: 1_800_000_000_000, Rank: 9999,
		Flag: "leaving", Process: name + "#0123456789a", LogAddress: strings.Repeat("l", 64), AppliedIndex: 1 << 40}
	b := encoded(t, r)
	if got, err := DecodeRecord(name, b); err != nil || got != r {
		t.Errorf("record of %d bytes, at most %d fit: decoded %+v, %v", len(b), memberlist.MetaMaxSize, got, err)
	}
}

// recordWithoutRegion is the record of builds that do not have Region; encoding/json ignores unknown fields.
type recordWithoutRegion struct {
	V        int     `json:"v"`
	Name     string  `json:"name"`
	Zone     string  `json:"zone"`
	Epoch    uint64  `json:"epoch"`
	Rank     int     `json:"rank"`
	Capacity float64 `json:"capacity,omitempty"`
	LagMS    int     `json:"lag_ms,omitempty"`
	Flag     string  `json:"flag,omitempty"`
	Share    float64 `json:"share,omitempty"`
	Process  string  `json:"process,omitempty"`
	Log      string  `json:"log,omitempty"`
	Applied  uint64  `json:"applied,omitempty"`
	Release  string  `json:"release,omitempty"`
}

// A fleet may run builds with and without Region: each accepts the other's records, and a record without a region is encoded
// to the same bytes by both.
func TestRecordsWithAndWithoutRegionAreCompatible(t *testing.T) {
	before := recordWithoutRegion{V: RecordVersion, Name: "a", Zone: "z1", Epoch: 7, Rank: 3, Capacity: 2, LagMS: 4, Flag: "overloaded", Share: 0.5, Process: "a#7",
		Log: "10.0.0.5:7947", Applied: 9, Release: "r1"}
	written, err := json.Marshal(before)
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeRecord("a", written)
	if err != nil || read.Region != "" {
		t.Fatalf("record of an older build: decoded %+v, %v", read, err)
	}
	if now := encoded(t, read); string(now) != string(written) {
		t.Errorf("record without a region is encoded as\n%s, by the older build as\n%s", now, written)
	}
	read.Region = "eu"
	var received recordWithoutRegion
	if err := json.Unmarshal(encoded(t, read), &received); err != nil || received != before {
		t.Errorf("the older build decodes %+v, %v, want %+v", received, err, before)
	}
}

func TestInvalidRegionChangesNothingAndValidOneIsAnnouncedAtOnce(t *testing.T) {
	m, watcher := startAlone(t)
	if err := m.SetRecord(Record{Zone: "z1", Region: strings.Repeat("r", 65), Rank: -1}); err == nil {
		t.Error("a region of 65 bytes was accepted")
	}
	if err := m.SetRecord(Record{Zone: "z1", Region: "eu", Rank: -1}); err != nil {
		t.Fatal(err)
	}
	if got := m.View()["a"]; got.Region != "eu" || watcher.updates.Load() != 1 {
		t.Errorf("view %+v after %d updates, want the region announced by one", got, watcher.updates.Load())
	}
}

// Records written by an older build (commit d489d24) must be decoded to the same values, and the same records must be encoded
// to the same bytes.
func TestRecordsOfEarlierBuild(t *testing.T) {
	for file, want := range map[string]Record{
		"record-full.json": {Version: RecordVersion, Name: "checkout-01", Zone: "east-1", Region: "east", Epoch: 1_790_000_123_456, Rank: 17,
			Capacity: 1250.5, LagMS: 12, Flag: FlagOverloaded, ShedQuota: 0.25, Process: "checkout-01#1a0c5b2c7c0",
			LogAddress: "10.0.0.5:7947", AppliedIndex: 981_234, Release: "2026-11-30.1"},
		"record-joining.json": {Version: RecordVersion, Name: "m0", Zone: "z1", Epoch: 1_790_000_123_456, Rank: -1},
		"record-leaving.json": {Version: RecordVersion, Name: "a<b&\u00e9", Zone: "z \"1\"", Capacity: 1e21, Flag: FlagLeaving, ShedQuota: 1,
			AppliedIndex: 1<<64 - 1},
	} {
		stored := testutil.ReadFixture(t, file)
		got, err := DecodeRecord(want.Name, stored)
		if err != nil || got != want {
			t.Errorf("%s: %+v, %v, want %+v", file, got, err, want)
		}
		if metadata, err := want.encode(); err != nil || !bytes.Equal(metadata, stored) {
			t.Errorf("%s: encoded %s, %v, want %s", file, metadata, err, stored)
		}
	}
}

// An error names the member and the field, and is a *RecordError.
func TestDecodeRecordErrors(t *testing.T) {
	for metadata, want := range map[string]string{
		`{`:                                `record of member "a": found invalid JSON, expected a JSON object (unexpected end of JSON input)`,
		`{"v":2,"name":"a"}`:               `record of member "a": field version found 2, expected 1`,
		`{"v":1,"name":"b"}`:               `record of member "a": field name found "b", expected "a"`,
		`{"v":1,"name":"a","flag":"x"}`:    `record of member "a": field flag found "x", expected leaving, overloaded or none`,
		`{"v":1,"name":"a","rank":-2}`:     `record of member "a": field rank found -2, expected -1 or more`,
		`{"v":1,"name":"a","share":1.5}`:   `record of member "a": field share found 1.5, expected 0 to 1`,
		`{"v":1,"name":"a","lag_ms":-1}`:   `record of member "a": field lag_ms found -1, expected at least 0`,
		`{"v":1,"name":"a","capacity":-1}`: `record of member "a": field capacity found -1, expected at least 0`,
		strings.Repeat(" ", 513):           `record of member "a": found 513 bytes, expected at most 512`,
	} {
		_, err := DecodeRecord("a", []byte(metadata))
		var invalid *RecordError
		if !errors.As(err, &invalid) || invalid.Member != "a" || err.Error() != want {
			t.Errorf("%.40s: %v, want %s", metadata, err, want)
		}
	}
}
