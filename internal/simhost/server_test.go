package simhost

import (
	"bytes"
	"strings"
	"testing"
)

const start = "FOR instance=3\n" +
	`CONFIGURE init_seed=9 info={"classes":[{"repeat":"repeatable","worth":1,"aim_s":1,"deadline_s":3}],` +
	`"domain":{"cores":1,"ram_kb":1000}}` + "\n"

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestInstanceStartsRunsAndRestartsInOneBatch(t *testing.T) {
	in := "BEGIN_BATCH moment_s=1\n" + start + "REQ size_kb=1 cls=0 novel=x ticket=7\nEOF_BATCH\n" +
		"BEGIN_BATCH moment_s=2\nFOR instance=3\nKILL\n" + start + "WOUND_UP ticket=7 disposition=ok\nEOF_BATCH\n"
	out, err := serve(t, in)
	if err != nil || strings.Count(out, "RUN ticket=7\n") != 1 || strings.Count(out, "FINISHED\n") != 2 {
		t.Errorf("%v\n%s", err, out)
	}
	if !strings.Contains(out, "NOTIFY_ME alarm_time_s=2.02 ref=1") {
		t.Errorf("the restarted instance does not count from its own start:\n%s", out)
	}
}

func TestMalformedInputEndsWithAnErrorOfOneLine(t *testing.T) {
	for in, want := range map[string]string{
		"FOR instance=1\n":         "line 1: field FOR name: expected BEGIN_BATCH",
		"BEGIN_BATCH moment_s=x\n": "line 1: field BEGIN_BATCH moment_s: expected a number",
		"BEGIN_BATCH moment_s=1\n" + start + "REQ cls=0\nEOF_BATCH\n": "line 4: field REQ ticket: expected a whole number",
		"BEGIN_BATCH moment_s=1\n" + start:                            "cut off",
		"BEGIN_BATCH moment_s=1\nREQ ticket=1\nEOF_BATCH\n":           "line 2: field REQ name: expected FOR",
	} {
		if out, err := serve(t, in); err == nil || !strings.Contains(err.Error(), want) || out != "" {
			t.Errorf("%q: got %v and %q, want %q", in, err, out, want)
		}
	}
}

func TestEndBetweenBatchesIsNoError(t *testing.T) {
	if out, err := serve(t, "BEGIN_BATCH moment_s=1\nUNHEARD_OF a=b\nEOF_BATCH\n"); err == nil {
		t.Errorf("an event of no instance was taken: %q", out)
	}
	if out, err := serve(t, "BEGIN_BATCH moment_s=1\nEOF_BATCH\n\n"); err != nil || out != "FINISHED\n" {
		t.Errorf("%v %q", err, out)
	}
}

// Whatever comes, the answer is a reply or an error of one line, never a panic.
func FuzzServe(f *testing.F) {
	for _, seed := range []string{
		start,
		"REQ ticket=1 cls=0 size_kb=1\n",
		"ALARM ref=1 server_stats=0.5,1\n",
		"REQ ticket=x\n",
		"REQ ticket=1 cls=x org=x\n",
		"FOR\n",
	} {
		f.Add("BEGIN_BATCH moment_s=1\n" + start + seed + "EOF_BATCH\n")
	}
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		if err := Serve(strings.NewReader(in), &out); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: more than one line: %v", in, err)
		}
	})
}
