package emulator

import "time"

const (
	trafficBin        = 10 * time.Second
	trafficWindowBins = 6
	notCaughtUp       = 1 << 40 // value of firstCountedBin until the process has caught up
)

// ConfigurationTrafficWindow is the window over which bytes per second are averaged.
const ConfigurationTrafficWindow = trafficWindowBins * trafficBin

// configurationTraffic counts a process's bytes in both directions, in bins of trafficBin that are numbered from time 0.
type configurationTraffic struct {
	bins            [trafficWindowBins]int
	currentBin      time.Duration // number of the bin that counts now
	firstCountedBin time.Duration // number of the first bin after the process caught up
	startBytes      int           // until the process caught up
}

func (t *configurationTraffic) reset(now time.Duration) {
	*t = configurationTraffic{currentBin: now / trafficBin, firstCountedBin: notCaughtUp}
}

// isCatchingUp reports whether the process has not yet caught up since its start.
func (t *configurationTraffic) isCatchingUp() bool { return t.firstCountedBin == notCaughtUp }

// markCaughtUp records that the process has caught up. Windows count from the next bin on.
func (t *configurationTraffic) markCaughtUp(now time.Duration) {
	if t.isCatchingUp() {
		t.firstCountedBin = now/trafficBin + 1
	}
}

// window returns the sum of all bins. isCounted is whether the process had caught up before the first of them.
func (t *configurationTraffic) window() (bytes int, isCounted bool) {
	for _, n := range t.bins {
		bytes += n
	}
	return bytes, t.currentBin-trafficWindowBins+1 >= t.firstCountedBin
}

// countTraffic adds bytes to a process's current bin. Each bin that has ended since the last call completes a window.
func (s *configurationSimulation) countTraffic(p *configurationProcess, wireBytes int) {
	t := &p.traffic
	for now := s.now / trafficBin; t.currentBin < now; {
		if bytes, isCounted := t.window(); isCounted {
			s.checker.recordTraffic(p, float64(bytes)/ConfigurationTrafficWindow.Seconds())
		}
		t.currentBin++
		t.bins[t.currentBin%trafficWindowBins] = 0
	}
	t.bins[t.currentBin%trafficWindowBins] += wireBytes
	if t.isCatchingUp() {
		t.startBytes += wireBytes
	}
}
