package runtime

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// The OnEnd observer is called for each task that completes, before its notification and with at least its run time. It is not
// called for a stopped task.
func TestOnEndObservesRunTimes(t *testing.T) {
	runTimes := map[string]time.Duration{"none": 0, "short": 20 * time.Millisecond, "long": time.Hour}
	r, address, err := Start("127.0.0.1:0", func(_ string, body []byte) (time.Duration, []byte) { return runTimes[string(body)], nil },
		func(string, []byte) {})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ended := make(chan string, len(runTimes))
	took := map[string]time.Duration{}
	r.OnEnd(func(body []byte, duration time.Duration) {
		took[string(body)] = duration
		ended <- string(body)
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintln(c, `{"verb":"sync","index":0}`)
	for body := range runTimes {
		fmt.Fprintf(c, `{"verb":"start","task":%q,"handler":"read","bytes":%q}`+"\n", body, base64.StdEncoding.EncodeToString([]byte(body)))
	}
	fmt.Fprintln(c, `{"verb":"stop","task":"long"}`)
	ends := 0
	for in := bufio.NewScanner(c); ends < len(runTimes) && in.Scan(); {
		if strings.Contains(in.Text(), `"end"`) {
			ends++
		}
	}
	if ends != len(runTimes) || len(ended) != 2 {
		t.Fatalf("%d end notifications of %d tasks, %d observed by OnEnd, expected 2", ends, len(runTimes), len(ended))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if took["short"] < runTimes["short"] || took["none"] > took["short"] {
		t.Errorf("OnEnd observed the run times %v", took)
	}
}
