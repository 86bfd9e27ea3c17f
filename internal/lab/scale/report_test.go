package scale

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// exampleResult is the result whose encodings by revision d489d24 are recorded in testdata.
func exampleResult(t *testing.T) *Result {
	t.Helper()
	r := &Result{Part: "part", Seed: 7, NotRun: []string{"not run"}}
	bounded := Series{Name: "bytes_s_member", Role: "member", SizeUnit: "members", Target: 1200, Bound: 6000, Coverage: "to 400",
		Points: []Point{{25, 60}, {50, 110}, {100, 210}, {200, 410}, {400, 820}}}
	plain := Series{Name: "plain", Role: "leader", SizeUnit: "members", Target: 1200, Points: []Point{{1, 5}, {2, 5}, {3, 5}, {4, 5}}}
	for _, s := range []Series{bounded, plain} {
		if err := r.AddSeries(s); err != nil {
			t.Fatal(err)
		}
	}
	r.SetFigure("single_ms", 1.5)
	r.AddFault("fault %d", 1)
	return r
}

// Results are encoded byte for byte as by revision d489d24, and results that it wrote can be decoded.
func TestRecordedResult(t *testing.T) {
	result := exampleResult(t)
	recorded, err := os.ReadFile("testdata/result-d489d24.json")
	if err != nil {
		t.Fatal(err)
	}
	var encoded bytes.Buffer
	if err := result.WriteJSON(&encoded); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded.Bytes(), recorded) {
		t.Errorf("written as %s, recorded %s", encoded.Bytes(), recorded)
	}
	decoded := &Result{}
	if err := json.Unmarshal(recorded, decoded); err != nil || !reflect.DeepEqual(decoded, result) {
		t.Errorf("read as %+v, %v, expected %+v", decoded, err, result)
	}
	text, err := os.ReadFile("testdata/result-d489d24.txt")
	if err != nil {
		t.Fatal(err)
	}
	var written bytes.Buffer
	if result.WriteText(&written); !bytes.Equal(written.Bytes(), text) {
		t.Errorf("written as %s, recorded %s", written.Bytes(), text)
	}
}
