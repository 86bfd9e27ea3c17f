package emulator

import (
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/configuration"
)

// Approximate overhead of a message on the wire. A message of more than maxDatagramBytes is sent on a stream.
const (
	maxDatagramBytes      = 1200
	datagramOverheadBytes = 64   // IP, UDP, and memberlist's framing (nonce, tag, type, label)
	streamOverheadBytes   = 700  // IP and TCP headers of ten packets that open, acknowledge and close the stream
	segmentPayloadBytes   = 1400 // of a stream
	segmentOverheadBytes  = 60   // IP and TCP headers; acknowledgements add half as much
)

// Properties of links. Loss and duplication affect datagrams only; their rates are fractions.
const (
	streamBytesPerSecond = 4 << 20
	lossWithinRegion     = 0.002
	lossBetweenRegions   = 0.01
	duplicateRate        = 0.002
	maxDuplicateDelay    = 2 * time.Second
	delayWithinRegion    = 2 * time.Millisecond
	minRegionDelayMS     = 40
	maxRegionDelayMS     = 150
)

// linkState is whether messages pass between two regions.
type linkState int

const (
	linkUp linkState = iota
	linkCut
)

// configurationNetwork holds the delays of the links between processes, and which links are cut.
type configurationNetwork struct {
	delay       [][]time.Duration // one way, by pair of regions
	regionLinks [][]linkState     // by pair of regions
	zoneCut     []bool            // from all other zones and the control nodes
}

func newConfigurationNetwork(scenario ConfigurationScenario, random *rand.Rand) configurationNetwork {
	n := configurationNetwork{
		delay:       make([][]time.Duration, scenario.Regions),
		regionLinks: make([][]linkState, scenario.Regions),
		zoneCut:     make([]bool, scenario.Zones),
	}
	for a := range scenario.Regions {
		n.delay[a] = make([]time.Duration, scenario.Regions)
		n.regionLinks[a] = make([]linkState, scenario.Regions)
		n.delay[a][a] = delayWithinRegion
		for b := range a {
			n.delay[a][b] = time.Duration(minRegionDelayMS+random.IntN(maxRegionDelayMS-minRegionDelayMS+1)) * time.Millisecond
			n.delay[b][a] = n.delay[a][b]
		}
	}
	return n
}

// isReachable reports whether no cut separates two processes now.
func (n *configurationNetwork) isReachable(a, b *configurationProcess) bool {
	if n.regionLinks[a.region][b.region] == linkCut {
		return false
	}
	if a.zone == b.zone {
		return true
	}
	return !n.isInCutZone(a) && !n.isInCutZone(b)
}

func (n *configurationNetwork) isInCutZone(p *configurationProcess) bool {
	return p.zone != noZone && n.zoneCut[p.zone]
}

// isIsolated reports whether a process is cut off from everything outside its zone or outside its region.
func (n *configurationNetwork) isIsolated(p *configurationProcess) bool {
	for region, link := range n.regionLinks[p.region] {
		if region != p.region && link == linkUp {
			return n.isInCutZone(p)
		}
	}
	return true
}

// setRegionLinks sets the links between a region and all others.
func (n *configurationNetwork) setRegionLinks(region int, state linkState) {
	for other := range n.regionLinks {
		if other != region {
			n.setLink(region, other, state)
		}
	}
}

// setLink sets the link between two regions.
func (n *configurationNetwork) setLink(a, b int, state linkState) {
	n.regionLinks[a][b], n.regionLinks[b][a] = state, state
}

// send counts the sender's bytes and schedules the arrival of the message, unless it is lost. A datagram may arrive twice.
func (s *configurationSimulation) send(from, to *configurationProcess, m configuration.Message) {
	if from.isByzantine {
		m = s.corrupt(m)
	}
	s.encodeBuffer = configuration.AppendMessage(s.encodeBuffer[:0], m)
	size := len(s.encodeBuffer)
	isStream := size > maxDatagramBytes
	wireBytes := wireBytesOf(size)
	s.checker.result.Messages++
	s.countTraffic(from, wireBytes)
	delay := s.messageDelay(from, to, size)
	isLost := !isStream && s.random.Float64() < lossRate(from, to)
	if isLost || !s.network.isReachable(from, to) {
		return
	}
	event := configurationEvent{at: s.now + delay, from: from, to: to, incarnation: from.incarnation, wireBytes: wireBytes,
		isStream: isStream, message: m}
	s.events.push(event)
	if !isStream && s.random.Float64() < duplicateRate {
		event.at += s.jitter(maxDuplicateDelay)
		s.events.push(event)
	}
}

// messageDelay returns a random delay for a message of an encoded size. A message on a stream takes three one-way delays and
// the time to transfer its bytes.
func (s *configurationSimulation) messageDelay(from, to *configurationProcess, size int) time.Duration {
	delay := s.network.delay[from.region][to.region]
	delay += s.jitter(delay / 4)
	delay += s.jitter(time.Millisecond)
	if size <= maxDatagramBytes {
		return delay
	}
	transferSeconds := float64(size) / streamBytesPerSecond
	return 3*delay + time.Duration(transferSeconds*float64(time.Second))
}

// wireBytesOf returns the bytes on the wire of a message of an encoded size, overhead included.
func wireBytesOf(size int) int {
	if size <= maxDatagramBytes {
		return size + datagramOverheadBytes
	}
	segments := (size + segmentPayloadBytes - 1) / segmentPayloadBytes
	return size + streamOverheadBytes + segments*segmentOverheadBytes*3/2
}

func lossRate(from, to *configurationProcess) float64 {
	if from.region == to.region {
		return lossWithinRegion
	}
	return lossBetweenRegions
}

// corrupt returns what a byzantine relay sends instead of a message: a copy with one body or root altered. Messages of other
// types stay as they are.
func (s *configurationSimulation) corrupt(m configuration.Message) configuration.Message {
	switch m := m.(type) {
	case configuration.Delta:
		return s.corruptDelta(m)
	case configuration.RepairReply:
		m.Root++
		s.checker.result.MessagesCorrupted++
		return m
	}
	return m
}

func (s *configurationSimulation) corruptDelta(m configuration.Delta) configuration.Delta {
	for n, c := range m.Changes {
		if c.Removed {
			continue
		}
		r, err := configuration.NewResource(c.Resource.Type, c.Resource.Name, "0"+c.Resource.Body, c.Resource.Version)
		if err != nil {
			return m
		}
		corrupted := append([]configuration.Change(nil), m.Changes...)
		corrupted[n].Resource = r
		m.Changes = corrupted
		s.checker.result.MessagesCorrupted++
		return m
	}
	return m
}

// deliver passes a message to its receiver, unless the receiver is not running, the link was cut meanwhile, or the message
// comes on a stream whose sender has died.
func (s *configurationSimulation) deliver(e *configurationEvent) {
	if !e.to.isRunning() || !s.network.isReachable(e.from, e.to) {
		return
	}
	isSenderAlive := e.from.isUp && e.from.incarnation == e.incarnation
	if e.isStream && !isSenderAlive {
		return
	}
	s.countTraffic(e.to, e.wireBytes)
	e.to.receive(e.from.name, e.message)
}
