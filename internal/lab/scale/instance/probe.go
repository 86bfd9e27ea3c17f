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
	burstSize     = 10 // requests; a bucket holds 8 at the lowest limit
	probeInterval = 10 * time.Millisecond
	probeTimeout  = 10 * time.Second // for the answers to one burst
	codeRejected  = -32001
)

// limitState is whether the last tenant's limit is in force.
type limitState bool

const (
	limitActive limitState = true
	limitLifted limitState = false
)

// probe tests whether the last tenant's limit is in force, by more requests at once than its bucket holds. A request beyond the
// limit has no priority weight by these settings, so it is rejected; without the limit, all are served.
type probe struct {
	rig    *rig
	net    net.Conn
	in     *json.Decoder
	lastID int
}

func (r *rig) newProbe() *probe { return &probe{rig: r} }

func (p *probe) close() {
	if p.net != nil {
		p.net.Close()
	}
}

// connect replaces the connection.
func (p *probe) connect() (err error) {
	p.close()
	if p.net, err = net.DialTimeout("tcp", p.rig.deploymentPlan.listen, healthCheckTimeout); err != nil {
		return err
	}
	p.in, p.lastID = json.NewDecoder(bufio.NewReader(p.net)), 0
	return nil
}

// answer is an answer to a request, or a notification, which has a method.
type answer struct {
	ID     int
	Method string
	Error  *struct {
		Code    int
		Message string
	}
}

// isLimited sends a burst and reports whether any request of it was rejected. Each burst has a connection of its own, since the
// program may close an idle one.
func (p *probe) isLimited() (bool, error) {
	if err := p.connect(); err != nil {
		return false, err
	}
	_ = p.net.SetDeadline(time.Now().Add(probeTimeout))
	var lines []byte
	for range burstSize {
		p.lastID++
		request := stub.Request{Class: loadClass, Tenant: tenantName(p.rig.tenants - 1), Body: []byte{workProbe}, MemoryKB: 1}
		lines = append(lines, stub.EncodeRequest(p.lastID, p.rig.nextID(), request)...)
	}
	if _, err := p.net.Write(lines); err != nil {
		return false, err
	}
	limited := false
	for answered := 0; answered < burstSize; {
		var a answer
		if err := p.in.Decode(&a); err != nil {
			return false, fmt.Errorf("probe: %w", err)
		}
		switch {
		case a.Method != "":
			continue
		case a.Error != nil && a.Error.Code == codeRejected:
			limited = true
		case a.Error != nil:
			return false, fmt.Errorf("probe: a request failed: %s", a.Error.Message)
		}
		answered++
	}
	return limited, nil
}

// waitUntil sends bursts until the limit has the expected state, and returns the time of the answer that shows it. It fails
// after the timeout, and when a burst fails.
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
	return time.Time{}, fmt.Errorf("probe: after %v the limit does not act as configured", timeout)
}
