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
	settleTime        = 500 * time.Millisecond // between opening connections and reading memory
	requestTimeout    = 5 * time.Second
	connectionSockets = 4096    // socket limit of the program, which allots five eighths, minus its own descriptors, to client stubs
	likelySubset      = 32      // expected number of instances that a caller connects to, at the target size
	regionLossFactor  = 4.0 / 3 // growth of an instance's connections after the loss of one of four regions
	bytesPerKB        = 1024
	kbPerMB           = 1024
	maxDescriptors    = 1024 // the platform's limit
)

// connectionsAt returns the mean number of connections of an instance if each caller connects to a subset of that size.
func connectionsAt(subset float64) float64 {
	return scale.TargetCallers * subset / scale.TargetMembers
}

// measureConnections opens an increasing number of connections to one program. Each serves one request and is then idle.
func (m *measurement) measureConnections() error {
	r, _, err := m.startRig(deploymentPlan{tenants: 2, classes: 1, sockets: connectionSockets})
	if err != nil {
		return err
	}
	defer r.close()
	time.Sleep(settleTime)
	withoutCallers := r.descriptorCount()
	memory := scale.Series{Name: "resident_kb_idle_connections", SizeUnit: "connections", Target: connectionsAt(likelySubset) * regionLossFactor,
		Bound: scale.MaxMemoryBytes / bytesPerKB, Coverage: "idle connections, each after one request"}
	descriptors := memory
	descriptors.Name, descriptors.Bound = "descriptors", maxDescriptors
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for _, size := range m.workload.connections {
		if conns, err = r.connectUpTo(conns, size); err != nil {
			return err
		}
		time.Sleep(settleTime)
		open := r.descriptorCount()
		if open-withoutCallers < size {
			m.result.AddFault("%d idle connections: found only %d more descriptors than without connections", size, open-withoutCallers)
		}
		residentMB, err := r.residentMB()
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, scale.Point{Size: float64(size), Value: residentMB * kbPerMB})
		descriptors.Points = append(descriptors.Points, scale.Point{Size: float64(size), Value: float64(open)})
		m.progress("%d connections: %d descriptors, %.1f MB", size, open, residentMB)
	}
	m.result.SetFigure("descriptors_without_callers", float64(withoutCallers))
	if err := m.addSeries(memory); err != nil {
		return err
	}
	return m.addSeries(descriptors)
}

// connectUpTo opens connections until there are count. On an error it also returns the open ones.
func (r *rig) connectUpTo(conns []net.Conn, count int) ([]net.Conn, error) {
	for len(conns) < count {
		c, err := r.connect()
		if err != nil {
			return conns, fmt.Errorf("open connection %d: %w", len(conns)+1, err)
		}
		conns = append(conns, c)
	}
	return conns, nil
}

// connect opens a connection, sends one request and waits for its answer.
func (r *rig) connect() (net.Conn, error) {
	c, err := net.DialTimeout("tcp", r.deploymentPlan.listen, requestTimeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
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
