//go:build review

// Command redelivery shows what happens to messages of a keyed class that were run by one service instance, when that is killed and
// the broker redelivers them to another one, whose table of keys is full.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/review/standin"
)

const (
	instances    = 5
	runTime      = 25 * time.Millisecond
	firstRunTime = 250 * time.Millisecond // at n1
	messageRate  = 20                     // messages a second in the queue, all of the keyed class
	stubRate     = 190                    // keyed requests a second from client stubs to each service instance but n1
	calmRate     = 60                     // after the jump
	jumpUntil    = 15 * time.Second
	killAt       = 13500 * time.Millisecond
	trafficTime  = 22 * time.Second
	connections  = 8
	resultSize   = 4096
	operator     = `<thymechute xmlns="urn:thymechute:operator:1">
  <amqp>
    <broker address="%s"/>
    <queue name="readings" dead-letter="given-up"/>
  </amqp>
</thymechute>
`
)

type node struct {
	runtime  *standin.Runtime
	instance *standin.Instance
}

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = 2
	}
	os.Exit(code)
}

func startNode(root string, number int, settingsFile string, record *standin.Record) (*node, error) {
	took := runTime
	if number == 0 {
		took = firstRunTime
	}
	runtime, err := standin.StartRuntime(record, func(string, []byte) time.Duration { return took })
	if err != nil {
		return nil, err
	}
	runtime.PadTo = resultSize
	settings := standin.Settings()
	settings["domain"].(map[string]any)["entry_kb"] = 4.6 // an entry with its result
	settings["classes"].([]any)[1].(map[string]any)["window_s"] = 13.68
	config, err := standin.NewConfig(runtime.Address, settings)
	if err != nil {
		return nil, err
	}
	config["name"] = fmt.Sprint("n", number+1)
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 512}
	n := &node{runtime: runtime}
	n.instance, err = standin.StartInstance(root, config, " serve --settings "+settingsFile)
	if err != nil {
		return nil, err
	}
	return n, n.instance.WaitReady(10 * time.Second)
}

func run(root, folder string, trouble bool) (int, error) {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer record.Close()
	b, err := broker.New()
	if err != nil {
		return 2, err
	}
	if err := b.DeclareReadings("given-up", nil); err != nil {
		return 2, err
	}
	b.Watch(func(e broker.Event) {
		record.Printf("broker: %s conn %d of %q queue %s id %q redelivered %v", e.Kind, e.Conn, e.Peer, e.Queue, e.ID, e.Redelivered)
	})
	address, err := b.Start("127.0.0.1:0")
	if err != nil {
		return 2, err
	}
	defer b.Close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(temporary)
	settingsFile := filepath.Join(temporary, "operator.xml")
	if err := os.WriteFile(settingsFile, fmt.Appendf(nil, operator, address), 0o600); err != nil {
		return 2, err
	}
	var nodes []*node
	for number := range instances {
		n, err := startNode(root, number, settingsFile, record)
		if err != nil {
			return 2, err
		}
		defer n.instance.Stop()
		nodes = append(nodes, n)
	}
	published, sent, killed := 0, 0, false
	conns := map[int]*standin.Conn{}
	start := time.Now()
	for elapsed := time.Duration(0); elapsed < trafficTime; elapsed = time.Since(start) {
		for ; float64(published) < elapsed.Seconds()*messageRate; published++ {
			id := body(published)
			b.Publish("", "readings", broker.Props{broker.Type: "excursion", broker.MessageID: id}, []byte(id))
		}
		due := min(elapsed, jumpUntil).Seconds()*stubRate + max(elapsed-jumpUntil, 0).Seconds()*calmRate
		for ; float64(sent) < due; sent++ {
			for number := 1; number < instances; number++ {
				slot := number*connections + sent%connections
				if conns[slot] == nil || !conns[slot].TakesRequests() {
					conns[slot], err = standin.Dial(nodes[number].instance.Listen, fmt.Sprintf("stub connection %d to n%d", slot, number+1), 1, record)
					if err != nil {
						return 2, err
					}
				}
				conns[slot].Send(standin.Request{Class: "excursion", Tenant: "ege-sut", Key: standin.NewRID() + standin.NewRID(),
					Body: fmt.Sprintf("stub request %d to n%d", sent, number+1)})
			}
		}
		if trouble && !killed && elapsed >= killAt {
			killed = true
			record.Printf("n1 is killed outright")
			_ = nodes[0].instance.Signal(syscall.SIGKILL)
		}
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for number, n := range nodes {
		record.Printf("log of n%d:\n%s", number+1, n.instance.Log())
		if number > 0 && n.instance.HasExited() {
			return 2, fmt.Errorf("n%d has ended: %s", number+1, n.instance.Log())
		}
	}
	return judge(nodes, published, record)
}

func body(number int) string { return fmt.Sprintf("excursion-%d", number) }

// judge counts the messages whose run was completed more than once.
func judge(nodes []*node, published int, record *standin.Record) (int, error) {
	once, twice := 0, 0
	for number := range published {
		id := body(number)
		runs := 0
		text := ""
		for index, n := range nodes {
			completed := n.runtime.Completed(id)
			runs += completed
			if completed > 0 {
				text += fmt.Sprintf(" %d by n%d", completed, index+1)
			}
		}
		switch {
		case runs == 1:
			once++
		case runs > 1:
			twice++
			record.Printf("RAN TWICE: %s, completed runs:%s", id, text)
		}
	}
	text := fmt.Sprintf("messages published: %d; run once: %d; run more than once: %d", published, once, twice)
	record.Printf("%s", text)
	fmt.Println(text)
	if once < 100 {
		return 2, fmt.Errorf("only %d messages were run", once)
	}
	if twice > 0 {
		return 1, nil
	}
	return 0, nil
}
