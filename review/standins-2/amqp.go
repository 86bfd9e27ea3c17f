//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"thymechute/internal/fake/broker"
)

const deadLetters = "readings.given-up"

// operatorFile writes the operator's file: deploy/thymechute.xml with the broker's address.
func (w *world) operatorFile(address, attributes string) (string, error) {
	path := filepath.Join(w.temp, "operator.xml")
	text := fmt.Sprintf(`<thymechute xmlns="urn:thymechute:operator:1"><amqp%s><broker address="%s"/>`+
		`<queue name="readings" dead-letter="%s"/></amqp></thymechute>`, attributes, address, deadLetters)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// settingsOf returns the settings of a small deployment: gebze-main with a key entry of entryKB.
func settingsOf(entryKB float64) object {
	return object{
		"fleet_size": 5, "worth_by": "request", "over_share_worth": 0.05,
		"classes": []object{
			{"name": "trace", "repeat": "repeatable", "aim_s": 2.2, "deadline_s": 5.7, "worth": 1, "window_s": 5},
			{"name": "excursion", "repeat": "by_key", "aim_s": 1.4, "deadline_s": 3.5, "worth": 3, "window_s": 10.422}},
		"tenants": []object{{"name": "marmara-gida", "quota_per_s": 0}},
		"domain": object{"blowup": 8, "caller_idle_s": 30, "calls_by_class": []bool{false, false}, "clients_total": 4, "cold": false,
			"cores": 6, "depends_on": "off", "entry_kb": entryKB, "gauges": []string{"cpu_busy", "runnable"}, "halt": "abort",
			"ram_kb": 39138, "say": "threshold", "said_for_s": 1},
		"policy_limits": object{"max_retry_after_s": 1, "retry_after": true},
		"rules": object{"answer_slack_s": 0.06, "cold_from": 0.2, "drain_grace_s": 1.8, "fall_multiple": 8, "overload_for_s": 2,
			"warm_after_s": 18}}
}

// runs counts the starts of each message by its body.
type runs struct {
	mu     sync.Mutex
	starts map[string][]string
}

func (r *runs) add(body, where string) (earlier []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier = r.starts[body]
	r.starts[body] = append(earlier, where)
	return earlier
}

// The load of the case copy: requests a second to each of the five instances. The pages have up to 190 for one instance, and six
// times as many on one day.
var stubRates = []float64{100, 400, 400, 400, 400}

const (
	copyMessagesPerSecond = 40
	copyKills             = 2
)

// playCopy: five instances consume excursions from a broker and answer client stubs. One of them is killed while it runs
// messages, which the broker redelivers to the others.
func playCopy(w *world) error {
	b, err := broker.New()
	if err != nil {
		return err
	}
	if err := b.DeclareReadings(deadLetters, nil); err != nil {
		return err
	}
	b.Watch(func(e broker.Event) {
		if e.ID != "" {
			w.record("broker: %s %s by %q from queue %s, redelivered %v", e.Kind, e.ID, e.Peer, e.Queue, e.Redelivered)
		}
	})
	address, err := b.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer b.Close()
	file, err := w.operatorFile(address, "")
	if err != nil {
		return err
	}
	seen := &runs{starts: map[string][]string{}}
	result := make([]byte, 4096)
	work := func(_ string, body []byte) (time.Duration, []byte) {
		if body[0] == 'm' {
			return 250 * time.Millisecond, result
		}
		return 5 * time.Millisecond, result
	}
	stop := make(chan struct{})
	defer close(stop)
	var mu sync.Mutex
	counts := map[string]int{}
	var fleet []*instance
	for n, rate := range stubRates {
		name := fmt.Sprintf("n%d", n+1)
		rt, err := newRuntime(work, func(_, class string, body []byte) {
			if body[0] != 'm' {
				return
			}
			w.record("run of %s starts at %s", body, name)
			if earlier := seen.add(string(body), name); class == "excursion" && len(earlier) > 0 {
				w.breach("excursion %s runs at %s, and ran at %v before", body, name, earlier)
			}
		})
		if err != nil {
			return err
		}
		i := w.newInstance(name, rt, object{"cores": 1, "memory_mb": 32, "sockets": 512}, settingsOf(2.5), file)
		if err := w.launch(i); err != nil {
			return err
		}
		fleet = append(fleet, i)
		var stubs []*stub
		for k := range 4 {
			stubs = append(stubs, &stub{number: 4*n + k, address: i.listen, count: func(outcome string) {
				mu.Lock()
				defer mu.Unlock()
				counts[name+" "+outcome]++
			}})
		}
		go sendSteadily(stubs, rate, "excursion", true, stop)
	}
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / copyMessagesPerSecond):
			}
			id := fmt.Sprintf("m%d", n)
			b.Publish("", "readings", broker.Props{broker.Type: "excursion", broker.MessageID: id,
				broker.Headers: broker.Table{"customer": "marmara-gida", "rank": 0.5}}, []byte(id))
		}
	}()
	time.Sleep(22 * time.Second) // the tables of keys are full by then
	for range copyKills {
		if w.trouble {
			for end := time.Now().Add(5 * time.Second); fleet[0].runtime.runningMessages() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					return errors.New("n1 runs no message")
				}
			}
			w.kill(fleet[0])
		}
		time.Sleep(7500 * time.Millisecond)
		if w.trouble {
			if err := w.launch(fleet[0]); err != nil {
				return err
			}
		}
		time.Sleep(5 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	w.record("answers to the stubs: %v", counts)
	return nil
}
