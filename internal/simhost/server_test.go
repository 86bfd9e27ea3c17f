package simhost

import (
	"bytes"
	"strings"
	"testing"
)

const configureLines = "FOR instance=3\n" +
	`CONFIGURE init_seed=9 info={"classes":[{"repeat":"repeatable","worth":1,"aim_s":1,"deadline_s":3}],` +
	`"domain":{"cores":1,"ram_kb":1000}}` + "\n"

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestInstanceStartsRunsAndRestartsInOneBatch(t *testing.T) {
	in := "BEGIN_BATCH moment_s=1\n" + configureLines + "REQ size_kb=1 cls=0 novel=x ticket=7\nEOF_BATCH\n" +
		"BEGIN_BATCH moment_s=2\nFOR instance=3\nKILL\n" + configureLines + "WOUND_UP ticket=7 disposition=ok\nEOF_BATCH\n"
	out, err := serve(t, in)
	if err != nil || strings.Count(out, "RUN ticket=7\n") != 1 || strings.Count(out, "FINISHED\n") != 2 {
		t.Errorf("error %v, want none, one RUN and two FINISHED in the output:\n%s", err, out)
	}
	if !strings.Contains(out, "NOTIFY_ME alarm_time_s=2.02 ref=1") {
		t.Errorf("want the restarted instance's first alarm 20 ms after its start:\n%s", out)
	}
}

func TestMalformedInputEndsWithAnErrorOfOneLine(t *testing.T) {
	for in, want := range map[string]string{
		"FOR instance=1\n":         "line 1: FOR message: expected BEGIN_BATCH",
		"BEGIN_BATCH moment_s=x\n": "line 1: BEGIN_BATCH moment_s: expected a finite number",
		"BEGIN_BATCH moment_s=1\n" + configureLines + "REQ cls=0\nEOF_BATCH\n": "line 4: REQ ticket: expected a whole number",
		"BEGIN_BATCH moment_s=1\n" + configureLines:                            "end of input: expected EOF_BATCH, the last batch is incomplete",
		"BEGIN_BATCH moment_s=1\nREQ ticket=1\nEOF_BATCH\n":                    "line 2: REQ message: expected FOR",
	} {
		if out, err := serve(t, in); err == nil || !strings.Contains(err.Error(), want) || out != "" {
			t.Errorf("input %q: error %v and output %q, want an error with %q and no output", in, err, out, want)
		}
	}
}

func TestEndBetweenBatchesIsNoError(t *testing.T) {
	if out, err := serve(t, "BEGIN_BATCH moment_s=1\nUNHEARD_OF a=b\nEOF_BATCH\n"); err == nil {
		t.Errorf("no error for an event before the first FOR; output %q", out)
	}
	if out, err := serve(t, "BEGIN_BATCH moment_s=1\nEOF_BATCH\n\n"); err != nil || out != "FINISHED\n" {
		t.Errorf("error %v and output %q, want FINISHED", err, out)
	}
}

// Any input leads to a reply or to an error of one line, never to a panic.
func FuzzServe(f *testing.F) {
	for _, seed := range []string{
		configureLines,
		"REQ ticket=1 cls=0 size_kb=1\n",
		"ALARM ref=1 server_stats=0.5,1\n",
		"REQ ticket=x\n",
		"REQ ticket=1 cls=x org=x\n",
		"FOR\n",
	} {
		f.Add("BEGIN_BATCH moment_s=1\n" + configureLines + seed + "EOF_BATCH\n")
	}
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		if err := Serve(strings.NewReader(in), &out); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("input %q: error of more than one line: %v", in, err)
		}
	})
}
