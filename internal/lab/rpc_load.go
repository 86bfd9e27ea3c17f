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
	rpcOpenRequests = 16 // on each connection
	rpcDialTimeout  = 10 * time.Second
	rpcDialInterval = 5 * time.Millisecond
)

// measureRPC measures size requests over connections that keep as many open as the AMQP consumer's prefetch limit.
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

// dialAll opens rpcConns connections, and retries until the instance listens. After an error it returns those it has opened.
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

func dialWithRetry(address string) (net.Conn, error) {
	for end := time.Now().Add(rpcDialTimeout); ; time.Sleep(rpcDialInterval) {
		c, err := net.Dial("tcp", address)
		if err == nil || time.Now().After(end) {
			return c, err
		}
	}
}

// sendOnAll sends count requests on each connection, whose IDs start with prefix, and waits for the answers.
func sendOnAll(conns []net.Conn, prefix string, count int) error {
	var senders sync.WaitGroup
	errs := make([]error, len(conns))
	for n, c := range conns {
		senders.Go(func() { errs[n] = sendRequests(c, fmt.Sprintf("%s%d", prefix, n), count) })
	}
	senders.Wait()
	return errors.Join(errs...)
}

// sendRequests keeps rpcOpenRequests open on a connection until count were answered.
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

// writeRequest writes the n-th request of a connection; errors show at the next flush.
func writeRequest(out *bufio.Writer, prefix string, n int) {
	id := fmt.Sprintf("%s-%d", prefix, n)
	fmt.Fprintf(out, `{"jsonrpc":"2.0","id":%d,"method":"trace","params":{"rid":%q,"t0":%d,"peer":1,"acct":"acme","mem":0.1,"prio":0.5,"doc":%q}}`+"\n",
		n+1, id, time.Now().UnixMilli(), base64.StdEncoding.EncodeToString([]byte(id)))
}
