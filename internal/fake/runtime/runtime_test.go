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

// Each run that ends by itself is told of before its notice, with a time no shorter than its work; one that is stopped is not.
func TestEndedTellsWhatRunsTook(t *testing.T) {
	spans := map[string]time.Duration{"none": 0, "short": 20 * time.Millisecond, "long": time.Hour}
	r, address, err := Start("127.0.0.1:0", func(_ string, body []byte) (time.Duration, []byte) { return spans[string(body)], nil },
		func(string, []byte) {})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	told := make(chan string, len(spans))
	took := map[string]time.Duration{}
	r.Ended(func(body []byte, span time.Duration) {
		took[string(body)] = span
		told <- string(body)
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintln(c, `{"verb":"sync","index":0}`)
	for body := range spans {
		fmt.Fprintf(c, `{"verb":"start","task":%q,"handler":"read","bytes":%q}`+"\n", body, base64.StdEncoding.EncodeToString([]byte(body)))
	}
	fmt.Fprintln(c, `{"verb":"stop","task":"long"}`)
	ends := 0
	for in := bufio.NewScanner(c); ends < len(spans) && in.Scan(); {
		if strings.Contains(in.Text(), `"end"`) {
			ends++
		}
	}
	if ends != len(spans) || len(told) != 2 {
		t.Fatalf("%d notices of %d, %d told", ends, len(spans), len(told))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if took["short"] < spans["short"] || took["none"] > took["short"] {
		t.Errorf("told %v", took)
	}
}
