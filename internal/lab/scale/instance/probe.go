package instance

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"thymechute/internal/fake/stub"
)

const (
	burstSize     = 10 // requests; with the lowest limit a token bucket holds 8
	probeInterval = 10 * time.Millisecond
	probeTimeout  = 10 * time.Second // for all answers to one burst
	rejectedCode  = -32001
)

// limitState is whether the last tenant's limit is in force.
type limitState bool

const (
	limitActive limitState = true
	limitLifted limitState = false
)

// probe tests whether the last tenant's limit is in force, by a burst of more requests than its token bucket holds. The settings give
// requests beyond the limit no priority weight, so they are rejected; without the limit all are served.
type probe struct {
	rig     *rig
	conn    net.Conn
	decoder *json.Decoder
	lastID  int
}

func (r *rig) newProbe() *probe { return &probe{rig: r} }

func (p *probe) close() {
	if p.conn != nil {
		p.conn.Close()
	}
}

// connect opens a new connection in place of the previous one.
func (p *probe) connect() (err error) {
	p.close()
	if p.conn, err = net.DialTimeout("tcp", p.rig.deploymentPlan.listen, healthCheckTimeout); err != nil {
		return err
	}
	p.decoder, p.lastID = json.NewDecoder(bufio.NewReader(p.conn)), 0
	return nil
}

// answer is an answer to a request or, if it has a method, a notification.
type answer struct {
	ID     int
	Method string
	Error  *struct {
		Code    int
		Message string
	}
}

// isLimited sends a burst and reports whether any request in it was rejected. Each burst uses a new connection, since the program may
// close an idle one.
func (p *probe) isLimited() (bool, error) {
	if err := p.connect(); err != nil {
		return false, err
	}
	_ = p.conn.SetDeadline(time.Now().Add(probeTimeout))
	var lines []byte
	for range burstSize {
		p.lastID++
		request := stub.Request{Class: loadClass, Tenant: tenantName(p.rig.tenants - 1), Body: []byte{workProbe}, MemoryKB: 1}
		lines = append(lines, stub.EncodeRequest(p.lastID, p.rig.nextID(), request)...)
	}
	if _, err := p.conn.Write(lines); err != nil {
		return false, err
	}
	limited := false
	for answered := 0; answered < burstSize; {
		var a answer
		if err := p.decoder.Decode(&a); err != nil {
			return false, fmt.Errorf("probe: read answer: %w", err)
		}
		switch {
		case a.Method != "":
			continue
		case a.Error != nil && a.Error.Code == rejectedCode:
			limited = true
		case a.Error != nil:
			return false, fmt.Errorf("probe: request failed: %s", a.Error.Message)
		}
		answered++
	}
	return limited, nil
}

// waitUntil sends bursts until the limit is in the expected state, and returns the time at which the burst that shows it was answered.
// It fails after the timeout and when a burst fails.
func (p *probe) waitUntil(ctx context.Context, expected limitState, timeout time.Duration) (time.Time, error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		isLimited, err := p.isLimited()
		if err != nil {
			return time.Time{}, err
		}
		if limitState(isLimited) == expected {
			return time.Now(), nil
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		}
	}
	return time.Time{}, fmt.Errorf("probe: limit of the last tenant not in the expected state after %v", timeout)
}
