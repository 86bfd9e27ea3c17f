//go:build review

// Command fulltable shows what a service instance with a full table of requests answers to a further try of a keyed request that
// it has already run.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"thymechute/review/standin"
)

const (
	trafficTime = 24 * time.Second
	crawlFrom   = 6 * time.Second
	crawlTime   = 13 * time.Second
	crawl       = 9                       // times slower
	runTime     = 3500 * time.Microsecond // of a run in healthy times: six cores do 1,700 a second
	rate        = 1140                    // first tries a second
	keyedEvery  = 400 * time.Millisecond
	retryAfter  = time.Second            // from the first try, whose answer was lost with its connection, to the second
	secondCopy  = 500 * time.Millisecond // the stub sends a second copy of a safe request that takes longer
	connections = 60
)

// keyed is a keyed request with its tries.
type keyed struct {
	request standin.Request
	tries   []*standin.Try
	conns   []*standin.Conn
}

type sentTrace struct {
	conn *standin.Conn
	try  *standin.Try
}

// node is one service instance with its runtime and the connections of the client stub to it.
type node struct {
	name     string
	runtime  *standin.Runtime
	instance *standin.Instance
	conns    []*standin.Conn
	next     int
	record   *standin.Record
}

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = 2
	}
	os.Exit(code)
}

func startNode(root, name string, record *standin.Record, work func() time.Duration) (*node, error) {
	runtime, err := standin.StartRuntime(record, func(string, []byte) time.Duration { return work() })
	if err != nil {
		return nil, err
	}
	config, err := standin.NewConfig(runtime.Address, standin.Settings())
	if err != nil {
		return nil, err
	}
	config["name"] = name
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 384}
	instance, err := standin.StartInstance(root, config, "")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, runtime: runtime, instance: instance, conns: make([]*standin.Conn, connections), record: record}
	return n, instance.WaitReady(10 * time.Second)
}

// send writes a request to the next connection that takes one.
func (n *node) send(request standin.Request) (*standin.Conn, *standin.Try) {
	for range n.conns {
		n.next = (n.next + 1) % len(n.conns)
		c := n.conns[n.next]
		if c == nil || !c.Ended().IsZero() {
			var err error
			c, err = standin.Dial(n.instance.Listen, fmt.Sprintf("connection %d to %s", n.next, n.name), 1, n.record)
			if err != nil {
				continue
			}
			n.conns[n.next] = c
		}
		if try := c.Send(request); try != nil {
			return c, try
		}
	}
	return nil, nil
}

func run(root, folder string, trouble bool) (int, error) {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer record.Close()
	var isSlow atomic.Bool
	first, err := startNode(root, "n1", record, func() time.Duration {
		if isSlow.Load() {
			return crawl * runTime
		}
		return runTime
	})
	if err != nil {
		return 2, err
	}
	defer first.instance.Stop()
	second, err := startNode(root, "n2", record, func() time.Duration { return runTime })
	if err != nil {
		return 2, err
	}
	defer second.instance.Stop()

	var items []*keyed
	retries := map[int]bool{}
	start := time.Now()
	sent := 0
	nextKeyed := keyedEvery
	var slowTraces []sentTrace // in the order of their sending, without those that have a second copy
	for elapsed := time.Duration(0); elapsed < trafficTime; elapsed = time.Since(start) {
		slow := trouble && elapsed >= crawlFrom && elapsed < crawlFrom+crawlTime
		if slow != isSlow.Load() {
			record.Printf("the machine of n1 runs %d times slower: %v", crawl, slow)
			isSlow.Store(slow)
		}
		for ; float64(sent) < elapsed.Seconds()*rate; sent++ {
			conn, try := first.send(standin.Request{Class: "trace", Tenant: "ege-sut", Body: fmt.Sprintf("trace %d", sent)})
			if try != nil {
				slowTraces = append(slowTraces, sentTrace{conn, try})
			}
		}
		for len(slowTraces) > 0 && time.Since(slowTraces[0].try.WrittenAt) >= secondCopy {
			if slow := slowTraces[0].conn.State(slowTraces[0].try); slow.Status == standin.Open {
				slow.Request.Again = true
				first.send(slow.Request)
			}
			slowTraces = slowTraces[1:]
		}
		for ; nextKeyed <= elapsed; nextKeyed += keyedEvery {
			item := &keyed{request: standin.Request{Class: "excursion", Tenant: "ege-sut", Key: standin.NewRID() + standin.NewRID(),
				Body: fmt.Sprintf("excursion %d", len(items))}}
			items = append(items, item)
			if err := item.sendFirst(first); err != nil {
				return 2, err
			}
		}
		for index, item := range items {
			if !retries[index] && time.Since(item.tries[0].WrittenAt) >= retryAfter {
				retries[index] = true
				item.request.Again = true
				item.add(first.send(item.request))
			}
			// A try that was refused goes on to the next service instance of the list.
			if last := len(item.tries) - 1; last == 1 && item.conns[last].State(item.tries[last]).Status == standin.Refused {
				item.add(second.send(item.request))
			}
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if first.instance.HasExited() || second.instance.HasExited() {
		return 2, fmt.Errorf("a program has ended: %s%s", first.instance.Log(), second.instance.Log())
	}
	record.Printf("log of n1:\n%s", first.instance.Log())
	return judge(items, first, second, record)
}

// sendFirst sends the first try on a connection of its own, which is reset by its client stub as the answer comes: the stub does
// not get the answer, and may try again.
func (k *keyed) sendFirst(n *node) error {
	conn, err := standin.Dial(n.instance.Listen, fmt.Sprintf("connection of %s to %s", k.request.Body, n.name), 2, n.record)
	if err != nil {
		return err
	}
	try := conn.Send(k.request)
	k.add(conn, try)
	go func() {
		conn.Wait(try, 4*time.Second)
		n.record.Printf("the connection of %s is reset as its answer comes", k.request.Body)
		conn.Reset()
	}()
	return nil
}

func (k *keyed) add(conn *standin.Conn, try *standin.Try) {
	if try != nil {
		k.conns = append(k.conns, conn)
		k.tries = append(k.tries, try)
	}
}

// judge counts the second tries that n1 refused after it had run the first try of the same request within the window.
func judge(items []*keyed, first, second *node, record *standin.Record) (int, error) {
	refused, twice, ran := 0, 0, 0
	for _, item := range items {
		runAt, wasRun := first.runtime.StartOf(item.tries0())
		if !wasRun || len(item.tries) < 2 {
			continue
		}
		ran++
		state := item.conns[1].State(item.tries[1])
		if state.Status != standin.Refused || !runAt.Before(state.WrittenAt) {
			continue
		}
		refused++
		runs := first.runtime.RunsOfBody(item.request.Body) + second.runtime.RunsOfBody(item.request.Body)
		if runs > 1 {
			twice++
		}
		record.Printf("TURNED AWAY AFTER IT HAD RUN: %s, token %s: first try rid %s was run %v before the second try rid %s was sent, whose answer is %s; runs in all: %d",
			item.request.Body, item.request.Key, item.tries[0].RID, state.WrittenAt.Sub(runAt).Round(time.Millisecond), state.RID, state.Answer, runs)
	}
	text := fmt.Sprintf("keyed requests whose first try was run: %d; of these, second tries refused by the same service instance: %d, and then run by the next one: %d",
		ran, refused, twice)
	record.Printf("%s", text)
	fmt.Println(text)
	if ran < 20 {
		return 2, fmt.Errorf("only %d keyed requests were run", ran)
	}
	if refused > 0 {
		return 1, nil
	}
	return 0, nil
}

func (k *keyed) tries0() string {
	if len(k.tries) == 0 {
		return ""
	}
	return k.tries[0].RID
}
