// This file owns the load on the JSON-RPC front that the consumer is compared with.

package lab

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"
	"sync"
	"time"

	"thymechute/internal/lab/rig"
)

const (
	rpcConns = 8
	rpcOpen  = 16 // requests at a time on each
)

// rpcRound does the same work over connections that keep as many requests open as a consumer's credit.
func rpcRound(i *rig.Instance, size int) (cpu, span time.Duration, err error) {
	var conns [rpcConns]net.Conn
	for n := range conns {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if conns[n], err = net.Dial("tcp", i.Listen); err == nil {
				defer conns[n].Close()
				break
			}
			if time.Now().After(end) {
				return 0, 0, err
			}
		}
	}
	run := func(tag string, each int) error {
		var done sync.WaitGroup
		errs := make(chan error, rpcConns)
		for n, c := range conns {
			done.Add(1)
			go func() {
				defer done.Done()
				errs <- rpcLoad(c, fmt.Sprintf("%s%d", tag, n), each)
			}()
		}
		done.Wait()
		for range conns {
			if err := <-errs; err != nil {
				return err
			}
		}
		return nil
	}
	if err := run("w", max(size/4/rpcConns, 1)); err != nil {
		return 0, 0, err
	}
	before, began := i.CPUTime(), time.Now()
	err = run("m", size/rpcConns)
	return i.CPUTime() - before, time.Since(began), err
}

func rpcLoad(c net.Conn, tag string, count int) error {
	_ = c.SetDeadline(time.Now().Add(longest))
	in, out := bufio.NewReader(c), bufio.NewWriter(c)
	send := func(n int) {
		id := fmt.Sprintf("%s-%d", tag, n)
		fmt.Fprintf(out, `{"jsonrpc":"2.0","id":%d,"method":"trace","params":{"rid":%q,"t0":%d,"peer":1,"acct":"acme","mem":0.1,"prio":0.5,"doc":%q}}`+"\n",
			n+1, id, time.Now().UnixMilli(), base64.StdEncoding.EncodeToString([]byte(id)))
	}
	sent := min(rpcOpen, count)
	for n := range sent {
		send(n)
	}
	for got := 0; got < count; got++ {
		if in.Buffered() == 0 {
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if _, err := in.ReadSlice('\n'); err != nil {
			return err
		}
		if sent < count {
			send(sent)
			sent++
		}
	}
	return nil
}
