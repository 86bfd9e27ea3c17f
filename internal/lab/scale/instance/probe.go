// This file owns the probe that tells whether the last tenant's limit acts: more requests at once than its bucket holds. What
// goes beyond a limit is worth nothing by these settings, so it is rejected; without the limit all are served.

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
	burst      = 10 // requests; a bucket holds 8 at the least limit
	probeGap   = 10 * time.Millisecond
	probeLimit = 10 * time.Second // of one burst
	rejected   = -32001
)

// probe is a connection that asks in the last tenant's name.
type probe struct {
	r    *rig
	net  net.Conn
	in   *json.Decoder
	last int
}

func (r *rig) newProbe() *probe { return &probe{r: r} }

func (p *probe) close() {
	if p.net != nil {
		p.net.Close()
	}
}

func (p *probe) connect() (err error) {
	p.close()
	if p.net, err = net.DialTimeout("tcp", p.r.deployment.listen, healthLimit); err != nil {
		return err
	}
	p.in, p.last = json.NewDecoder(bufio.NewReader(p.net)), 0
	return nil
}

type answer struct {
	ID     int
	Method string
	Error  *struct {
		Code    int
		Message string
	}
}

// acts sends a burst and tells whether any of it was rejected.
func (p *probe) acts() (bool, error) {
	if err := p.connect(); err != nil { // a connection of its own each time: an idle one may be told to close
		return false, err
	}
	_ = p.net.SetDeadline(time.Now().Add(probeLimit))
	var lines []byte
	for range burst {
		p.last++
		request := stub.Request{Class: loadClass, Tenant: tenantName(p.r.tenants - 1), Body: []byte{workProbe}, MemoryKB: 1}
		lines = append(lines, stub.EncodeRequest(p.last, p.r.nextID(), request)...)
	}
	if _, err := p.net.Write(lines); err != nil {
		return false, err
	}
	over := false
	for answered := 0; answered < burst; {
		var a answer
		if err := p.in.Decode(&a); err != nil {
			return false, fmt.Errorf("probe: %w", err)
		}
		switch {
		case a.Method != "":
			continue
		case a.Error != nil && a.Error.Code == rejected:
			over = true
		case a.Error != nil:
			return false, fmt.Errorf("probe: a request failed: %s", a.Error.Message)
		}
		answered++
	}
	return over, nil
}

// until sends bursts until the limit acts as wanted, and returns when one that shows it was answered.
func (p *probe) until(ctx context.Context, limited bool, limit time.Duration) (time.Time, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		acts, err := p.acts()
		if err != nil {
			return time.Time{}, err
		}
		if acts == limited {
			return time.Now(), nil
		}
		select {
		case <-time.After(probeGap):
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		}
	}
	return time.Time{}, fmt.Errorf("probe: after %v the limit does not act as configured", limit)
}
