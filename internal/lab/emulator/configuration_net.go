// This file owns the emulated links: delay, loss, doubles and cuts, the bytes that go over them, and the order of events.

package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
)

// What a message costs beside its own bytes, and how links behave. A message over mostDatagram goes as a stream.
const (
	datagramOverhead = 64   // bytes: IP, UDP, and what memberlist puts around (nonce, tag, type, label)
	streamOverhead   = 700  // bytes: IP and TCP of ten packets to open, confirm and end
	segmentPayload   = 1400 // bytes, each with segmentOverhead of IP and TCP, and half as much for what confirms it
	segmentOverhead  = 60
	mostDatagram     = 1200 // bytes
	streamRate       = 4 << 20
	lossNear         = 0.002
	lossFar          = 0.01
	doubled          = 0.002
	windowBins       = 6 // of bin: the window over which bytes a second are a mean
	bin              = 10 * time.Second
)

// ConfigurationWindow is the window over which bytes a second are a mean.
const ConfigurationWindow = windowBins * bin

type configurationNet struct {
	delay   [][]time.Duration // by region, one way
	cut     [][]bool          // by region
	zoneCut []bool
}

func (n *configurationNet) start(s *configurationSim) {
	regions := s.day.Regions
	n.delay, n.cut, n.zoneCut = make([][]time.Duration, regions), make([][]bool, regions), make([]bool, s.day.Zones)
	for a := range regions {
		n.delay[a], n.cut[a] = make([]time.Duration, regions), make([]bool, regions)
		n.delay[a][a] = 2 * time.Millisecond
		for b := range a {
			n.delay[a][b] = time.Duration(40+s.r.IntN(111)) * time.Millisecond
			n.delay[b][a] = n.delay[a][b]
		}
	}
}

// reach tells whether a message from one process gets to another now.
func (n *configurationNet) reach(a, b *configurationProcess) bool {
	if n.cut[a.region][b.region] {
		return false
	}
	return a.zone == b.zone || !(a.zone >= 0 && n.zoneCut[a.zone] || b.zone >= 0 && n.zoneCut[b.zone])
}

// cutOff tells whether nobody outside its zone or region reaches a process.
func (n *configurationNet) cutOff(p *configurationProcess) bool {
	for region, cut := range n.cut[p.region] {
		if region != p.region && !cut {
			return p.zone >= 0 && n.zoneCut[p.zone]
		}
	}
	return true
}

func (n *configurationNet) cutRegion(a int, cut bool) {
	for b := range n.cut {
		if a != b {
			n.cut[a][b], n.cut[b][a] = cut, cut
		}
	}
}

// send counts a message by its bytes and hands it to the link.
func (s *configurationSim) send(from, to *configurationProcess, m configuration.Message) {
	if from.lies {
		m = s.lie(m)
	}
	s.scratch = configuration.Append(s.scratch[:0], m)
	size, stream := len(s.scratch), len(s.scratch) > mostDatagram
	wire := size + datagramOverhead
	if stream {
		segments := (size + segmentPayload - 1) / segmentPayload
		wire = size + streamOverhead + segments*segmentOverhead*3/2
	}
	s.judge.figures.Messages++
	from.bytes.count(s, from, wire)
	delay := s.net.delay[from.region][to.region]
	delay += s.jitter(delay/4) + s.jitter(time.Millisecond)
	loss := lossNear
	if from.region != to.region {
		loss = lossFar
	}
	if stream {
		delay = 3*delay + time.Duration(float64(size)/streamRate*float64(time.Second))
	}
	if !stream && s.r.Float64() < loss || !s.net.reach(from, to) {
		return
	}
	event := configurationEvent{at: s.now + delay, from: from, to: to, life: from.life, wire: wire, stream: stream, m: m}
	s.events.push(event)
	if !stream && s.r.Float64() < doubled {
		event.at += s.jitter(2 * time.Second)
		s.events.push(event)
	}
}

// lie is what a relay that lies sends in a message's place: one body altered, all else as it was.
func (s *configurationSim) lie(m configuration.Message) configuration.Message {
	switch m := m.(type) {
	case configuration.Delta:
		for n, c := range m.Changes {
			if c.Removed {
				continue
			}
			altered := append([]configuration.Change(nil), m.Changes...)
			r, err := configuration.NewResource(c.Resource.Type, c.Resource.Name, "0"+c.Resource.Body, c.Resource.Version)
			if err != nil {
				return m
			}
			altered[n].Resource = r
			m.Changes = altered
			s.judge.figures.Lies++
			return m
		}
	case configuration.RepairReply:
		m.Root++
		s.judge.figures.Lies++
		return m
	}
	return m
}

// deliver is the link's other end. A stream whose sender died meanwhile is lost, as is all over a link cut meanwhile.
func (s *configurationSim) deliver(e *configurationEvent) {
	if !e.to.up || e.to.paused || !s.net.reach(e.from, e.to) || e.stream && (e.from.life != e.life || !e.from.up) {
		return
	}
	e.to.bytes.count(s, e.to, e.wire)
	e.to.received(e.from.name, e.m)
}

// configurationBytes are a process's, in bins of time.
type configurationBytes struct {
	bins  [windowBins]int
	at    time.Duration // the present bin's number
	whole time.Duration // first bin that counts: after the start
	start int           // bytes before it was caught up
}

func (b *configurationBytes) begin(now time.Duration) {
	*b = configurationBytes{at: now / bin, whole: 1 << 40}
}

// starting tells whether it hasn't had the newest yet.
func (b *configurationBytes) starting() bool { return b.whole == 1<<40 }

// started: from the next bin on its bytes count against the bound.
func (b *configurationBytes) started(now time.Duration) {
	if b.starting() {
		b.whole = now/bin + 1
	}
}

func (b *configurationBytes) count(s *configurationSim, p *configurationProcess, wire int) {
	for now := s.now / bin; b.at < now; {
		b.close(s, p)
		b.at++
		b.bins[b.at%windowBins] = 0
	}
	b.bins[b.at%windowBins] += wire
	if b.starting() {
		b.start += wire
	}
}

// close ends a bin: the window that ends with it is judged where all of it counts.
func (b *configurationBytes) close(s *configurationSim, p *configurationProcess) {
	if b.at-windowBins+1 < b.whole {
		return
	}
	sum := 0
	for _, n := range b.bins {
		sum += n
	}
	s.judge.window(p, float64(sum)/ConfigurationWindow.Seconds())
}
