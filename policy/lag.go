// This file owns lag, the sample of it each period, and the flag. It must never touch a request.

package policy

import (
	"time"

	"go.uber.org/zap"
)

func learn(mean *float64, x, seen float64) { *mean += (x - *mean) / min(seen+1, 16) }

func (i *Instance) sample(now time.Duration, it *item) { // toward the period in which it began
	if age := int((i.nextSample - it.began - 1) / period); age < 2 {
		i.sum[age] += i.ratio(now, it)
		i.count[age]++
	}
}

func (i *Instance) ratio(now time.Duration, it *item) float64 {
	b := &i.classes[it.Class]
	run := now - it.began - it.callTime
	if it.state == atCall || it.state == calling {
		run -= now - it.since
	}
	return (it.wait.Seconds() + max(run.Seconds(), b.base)) / b.base
}

// judge takes the sample of lag: the mean latency ratio of what started in the last two periods,
// what still runs counting with its time so far, and at least its base.
func (i *Instance) judge(now time.Duration, g Gauges) {
	was, sum, n := i.flag, i.sum[0]+i.sum[1], i.count[0]+i.count[1]
	for w := range i.items {
		it := &i.items[w]
		if it.state >= running && it.state != joined && !it.answered && it.began >= now-2*period {
			sum += i.ratio(now, it)
			n++
		}
		if it.state == held && now-it.arrived > period {
			// Departure: the hold's order lets the rich start at once, and starts hide that the rest starves.
			sum += 1 + (now-it.arrived).Seconds()/i.classes[it.Class].base
			n++
		}
	}
	i.lag, i.limit = max(sum/max(n, 1)-1, 0), -1
	for k := range i.classes {
		if b := &i.classes[k]; !b.free {
			i.limit += duePart * b.due.Seconds() / b.base / float64(i.inUse)
			b.base += (b.latency - b.base) * baseDrift
		}
	}
	i.limit = max(i.limit, leastLimit)
	i.sum, i.count = [2]float64{0, i.sum[0]}, [2]float64{0, i.count[0]}
	if i.crossings++; i.lag <= i.limit {
		i.crossings = 0
	}
	if i.flag = i.crossings >= dampening; i.flag != was {
		i.host.Log("load shedding changed", zap.Bool("shedding", i.flag), zap.Float64("lag", i.lag),
			zap.Float64("lag_threshold", i.limit), zap.Int("queued", len(i.held)), zap.Int("running", i.onCores),
			zap.Float64("concurrency_limit", i.width), zap.Float64("advertised_shed", i.shed))
	}
	i.adjust()
	i.health()
	i.doors()
	// What lies below is crowded long before it dies: slow calls use less of it, so that more of them end.
	if i.callUse = min(i.callUse+callsUp, 1); i.slowBelow() {
		i.callUse = max(i.callUse*callsDown, leastCalls)
	}
	// Runs at a disk leave cores idle, which makes room for more: seen while all that may run do and work waits.
	if idle := i.idleCores / max(i.full, 1); i.full > 0 && idle > 1-busyRoom && i.done > 0 {
		i.width = min(i.width+1, float64(i.ceiling(now)))
	} else if i.full > 0 && idle < 1-busyFull {
		i.width = max(i.width-1, float64(i.cores))
	}
	i.idleCores, i.full = 0, 0
	if i.read > 0 {
		learn(&i.repeats, float64(i.marked)/float64(i.read), 3)
		learn(&i.rejectedShare, float64(i.rejected)/float64(max(i.read, i.rejected)), 3)
	}
	clear(i.from)
	i.read, i.marked, i.rejected, i.missed, i.done, i.waited = 0, 0, 0, 0, 0, 0
}
