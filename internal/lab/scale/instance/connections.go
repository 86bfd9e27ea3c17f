// This file owns what idle connections cost: descriptors and memory.

package instance

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"thymechute/internal/fake/stub"
	"thymechute/internal/lab/scale"
)

const (
	settleFor    = 500 * time.Millisecond // before memory is read
	answerLimit  = 5 * time.Second
	manySockets  = 4096 // descriptors of the program: five eighths, less its own, are the stubs'
	likelySubset = 32   // instances that a caller connects to, by which the target is worked out
	regionLost   = 4.0 / 3
	kilo         = 1024
)

// connectionsAt is how many connections one instance has of all callers, each connected to so many instances.
func connectionsAt(subset float64) float64 {
	return scale.TargetCallers * subset / scale.TargetMembers
}

// connections opens more and more on one program, each with a request served, and leaves them idle.
func (m *measuring) connections() error {
	r, _, err := m.start(deployment{tenants: 2, classes: 1, sockets: manySockets})
	if err != nil {
		return err
	}
	defer r.end()
	time.Sleep(settleFor)
	without := r.descriptors()
	memory := scale.Series{Name: "resident_kb_idle_connections", Of: "connections", Target: connectionsAt(likelySubset) * regionLost,
		Bound: scale.BoundMemoryBytes / kilo, Ran: "idle, each after one request"}
	descriptors := memory
	descriptors.Name, descriptors.Bound = "descriptors", 1024 // the most that the platform gives
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for _, size := range m.sizes.connections {
		for len(held) < size {
			c, err := r.connect()
			if err != nil {
				return fmt.Errorf("connection %d: %w", len(held)+1, err)
			}
			held = append(held, c)
		}
		time.Sleep(settleFor)
		open := r.descriptors()
		if open-without < size {
			m.result.Fault("%d idle connections: %d descriptors more than without", size, open-without)
		}
		resident, err := r.resident()
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, scale.Point{Size: float64(size), Value: resident * kilo})
		descriptors.Points = append(descriptors.Points, scale.Point{Size: float64(size), Value: float64(open)})
		m.say("%d connections: %d descriptors, %.1f MB", size, open, resident)
	}
	m.result.Put("descriptors_without_callers", float64(without))
	if err := m.add(memory); err != nil {
		return err
	}
	return m.add(descriptors)
}

// connect opens a connection and has one request served on it.
func (r *rig) connect() (net.Conn, error) {
	c, err := net.DialTimeout("tcp", r.deployment.listen, answerLimit)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(answerLimit))
	request := stub.Request{Class: loadClass, Tenant: tenantName(0), Body: []byte{workProbe}, MemoryKB: 1}
	if _, err = c.Write(stub.EncodeRequest(1, r.nextID(), request)); err == nil {
		_, err = bufio.NewReader(c).ReadString('\n')
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
