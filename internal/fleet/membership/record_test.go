package membership

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/hashicorp/memberlist"
)

func encoded(t *testing.T, r Record) []byte {
	t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestARegionTravelsInTheRecordWithinItsBound(t *testing.T) {
	for _, region := range []string{"", "eu-west", strings.Repeat("r", 64)} {
		want := Record{V: Version, Name: "a", Zone: "z1", Region: region, Rank: -1}
		if got, err := Read("a", encoded(t, want)); err != nil || got != want {
			t.Errorf("%q: %+v, %v", region, got, err)
		}
	}
	_, err := Read("a", encoded(t, Record{V: Version, Name: "a", Zone: "z1", Region: strings.Repeat("r", 65), Rank: -1}))
	if err == nil || !strings.Contains(err.Error(), "region found 65 bytes, expected at most 64") {
		t.Errorf("a region of 65 bytes: %v", err)
	}
	if m, err := Start(Config{Name: "a", Bind: freeAddress(t, 21), Most: 4, Record: Record{Region: strings.Repeat("r", 65)}}, &heard{}); err == nil {
		_ = m.Stop()
		t.Error("a member started with a region of 65 bytes")
	}
}

// The longest names that the bounds let through, and all numbers at their widest, still fit where memberlist carries them.
func TestARecordAtItsBoundsFits(t *testing.T) {
	name := strings.Repeat("n", 96-len("#0123456789a")) // a process is the name and its life
	r := Record{V: Version, Name: name, Zone: strings.Repeat("z", 64), Region: strings.Repeat("r", 64), Epoch: 1_800_000_000_000, Rank: 9999,
		Flag: "leaving", Process: name + "#0123456789a", Log: strings.Repeat("l", 64), Applied: 1 << 40}
	b := encoded(t, r)
	if got, err := Read(name, b); err != nil || got != r {
		t.Errorf("%d bytes of %d: %+v, %v", len(b), memberlist.MetaMaxSize, got, err)
	}
}

// older is the record as the builds before Region read and wrote it; encoding/json reads past what it doesn't name.
type older struct {
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

// One fleet may run both builds: each takes the other's records in, and one that names no region is what it was, byte by byte.
func TestRecordsWithAndWithoutARegionMix(t *testing.T) {
	before := older{V: Version, Name: "a", Zone: "z1", Epoch: 7, Rank: 3, Capacity: 2, LagMS: 4, Flag: "overloaded", Share: 0.5, Process: "a#7",
		Log: "10.0.0.5:7947", Applied: 9, Release: "r1"}
	written, err := json.Marshal(before)
	if err != nil {
		t.Fatal(err)
	}
	read, err := Read("a", written)
	if err != nil || read.Region != "" {
		t.Fatalf("an older record: %+v, %v", read, err)
	}
	if now := encoded(t, read); string(now) != string(written) {
		t.Errorf("without a region:\n%s, before\n%s", now, written)
	}
	read.Region = "eu"
	var there older
	if err := json.Unmarshal(encoded(t, read), &there); err != nil || there != before {
		t.Errorf("the older build reads %+v, %v, want %+v", there, err, before)
	}
}

func TestAFaultyRegionChangesNothingAndAnotherIsToldAtOnce(t *testing.T) {
	m, watch := startAlone(t)
	if err := m.Set(Record{Zone: "z1", Region: strings.Repeat("r", 65), Rank: -1}); err == nil {
		t.Error("a region of 65 bytes was taken")
	}
	if err := m.Set(Record{Zone: "z1", Region: "eu", Rank: -1}); err != nil {
		t.Fatal(err)
	}
	if got := m.View()["a"]; got.Region != "eu" || watch.updates.Load() != 1 {
		t.Errorf("view %+v after %d changes, want the region told once", got, watch.updates.Load())
	}
}
