package emulator

import "time"

const (
	trafficBin        = 10 * time.Second
	trafficWindowBins = 6
	notCaughtUp       = 1 << 40 // as the first counted bin: the process has not had the newest version yet
)

// ConfigurationTrafficWindow is the window over which bytes per second are averaged.
const ConfigurationTrafficWindow = trafficWindowBins * trafficBin

// configurationTraffic counts a process's bytes in both directions, in bins of time.
type configurationTraffic struct {
	bins            [trafficWindowBins]int
	currentBin      time.Duration // its number
	firstCountedBin time.Duration // the first one after the process has caught up
	startBytes      int           // before it has caught up
}

func (t *configurationTraffic) reset(now time.Duration) {
	*t = configurationTraffic{currentBin: now / trafficBin, firstCountedBin: notCaughtUp}
}

// isStarting reports whether the process has not caught up since its start.
func (t *configurationTraffic) isStarting() bool { return t.firstCountedBin == notCaughtUp }

// markStarted counts the process's bytes against the limit from the next bin on.
func (t *configurationTraffic) markStarted(now time.Duration) {
	if t.isStarting() {
		t.firstCountedBin = now/trafficBin + 1
	}
}

// window is the sum of all bins; isCounted tells whether the process had caught up before all of them.
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
	if t.isStarting() {
		t.startBytes += wireBytes
	}
}
