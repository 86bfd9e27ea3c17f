package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"thymechute/internal/testutil"
)

func TestClosedLogPipeDoesNotStopProgram(t *testing.T) {
	reader, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	env := testutil.NewEnvironment(t, nil)
	env.Program = testutil.StartProgramWith(t, env.Config, testutil.ProgramOptions{Log: log})
	env.Runtime.AcceptSync(0, "new", 0)
	env.Runtime.Disconnect() // this and the next sync log one line each
	env.Runtime.AcceptSync(0, "new", 50)
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
}

func TestInvalidConfigurationNamesTheKey(t *testing.T) {
	env := testutil.NewEnvironment(t, func(config map[string]any) { config["stop_ms"] = "soon" })
	p := testutil.StartProgram(t, env.Config)
	if code := p.AwaitExit(); code != 2 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), `stop_ms: found "soon"`) {
		t.Errorf("exit code %d, %q", code, p.Log())
	}
}

func TestCommandLine(t *testing.T) {
	good := "../../deploy/thymechute.xml"
	bad := filepath.Join(t.TempDir(), "bad.xml")
	if err := os.WriteFile(bad, []byte("<thymechute xmlns=\"urn:thymechute:operator:1\">\n<amqp/></thymechute>"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   string
		code   int
		output string
	}{
		{"version", 0, "thymechute "},
		{"check --settings " + good, 0, "ok\n"},
		{"check --settings " + bad, 2, bad + ": line 2, amqp: found element broker 0 times, expected at least 1\n"},
		{"check --settings /no/such", 2, "settings: found open /no/such"},
		{"check", 2, "check: neither the flag --settings nor the environment variable GW_CONFIG is set, expected at least one"},
		{"serve --settings " + bad, 2, "GW_CONFIG: found an unset or empty environment variable"},
		{"sevre", 2, `found "sevre"`},
		{"--setings x", 2, "unknown flag"},
	} {
		out, err := exec.Command(testutil.BuildProgram(t), strings.Fields(c.args)...).CombinedOutput()
		code := 0
		if e, ok := err.(*exec.ExitError); ok {
			code = e.ExitCode()
		}
		if code != c.code || !strings.Contains(string(out), c.output) || code == 2 && strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: got exit code %d, output %q", c.args, code, out)
		}
	}
}
