package lab

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"thymechute/internal/lab/rig"
)

const (
	rpcConns        = 8
	rpcOpenRequests = 16 // per connection
	rpcDialTimeout  = 10 * time.Second
	rpcDialInterval = 5 * time.Millisecond
)

// measureRPC measures the cost of size requests. The connections together keep as many requests open as the least prefetch limit of
// measureAMQP.
func measureRPC(instance *rig.Instance, size int) (cost, error) {
	conns, err := dialAll(instance.ListenAddress)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	if err != nil {
		return cost{}, err
	}
	if err := sendOnAll(conns, "w", max(size/warmUpDivisor/rpcConns, 1)); err != nil {
		return cost{}, err
	}
	cpu, begin := instance.CPUTime(), time.Now()
	err = sendOnAll(conns, "m", size/rpcConns)
	return cost{instance.CPUTime() - cpu, time.Since(begin)}, err
}

// dialAll opens rpcConns connections. With an error, it returns those that it has opened.
func dialAll(address string) (conns []net.Conn, err error) {
	for range rpcConns {
		c, err := dialWithRetry(address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
	}
	return conns, nil
}

// dialWithRetry retries for rpcDialTimeout, as a new instance does not listen yet.
func dialWithRetry(address string) (net.Conn, error) {
	for end := time.Now().Add(rpcDialTimeout); ; time.Sleep(rpcDialInterval) {
		c, err := net.Dial("tcp", address)
		if err == nil || time.Now().After(end) {
			return c, err
		}
	}
}

// sendOnAll sends count requests on each connection and waits for the answers. The request IDs start with prefix.
func sendOnAll(conns []net.Conn, prefix string, count int) error {
	var senders sync.WaitGroup
	errs := make([]error, len(conns))
	for n, c := range conns {
		senders.Go(func() { errs[n] = sendRequests(c, fmt.Sprintf("%s%d", prefix, n), count) })
	}
	senders.Wait()
	return errors.Join(errs...)
}

// sendRequests sends count requests on a connection, at most rpcOpenRequests of them open at a time, and waits for the answers.
func sendRequests(c net.Conn, prefix string, count int) error {
	_ = c.SetDeadline(time.Now().Add(maxRunTime))
	in, out := bufio.NewReader(c), bufio.NewWriter(c)
	sent := min(rpcOpenRequests, count)
	for n := range sent {
		writeRequest(out, prefix, n)
	}
	for range count {
		if in.Buffered() == 0 {
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if _, err := in.ReadSlice('\n'); err != nil {
			return err
		}
		if sent < count {
			writeRequest(out, prefix, sent)
			sent++
		}
	}
	return nil
}

// writeRequest writes request n of a connection. A write error is returned by the next flush.
func writeRequest(out *bufio.Writer, prefix string, n int) {
	id := fmt.Sprintf("%s-%d", prefix, n)
	fmt.Fprintf(out, `{"jsonrpc":"2.0","id":%d,"method":"trace","params":{"rid":%q,"t0":%d,"peer":1,"acct":"acme","mem":0.1,"prio":0.5,"doc":%q}}`+"\n",
		n+1, id, time.Now().UnixMilli(), base64.StdEncoding.EncodeToString([]byte(id)))
}
