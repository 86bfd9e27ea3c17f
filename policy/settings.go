// This file owns the settings in force and the defaults where they say nothing. It must never end a request.

package policy

import (
	"math"

	"thymechute/policy/settings"
	"thymechute/policy/share"
)

// SetServer puts later figures in force. Due times and key entries stay as they were; memory is counted anew.
func (i *Instance) SetServer(s settings.Server) {
	i.takeServer(s)
	i.memory = float64(len(i.entries)) * s.KeyEntryKB.Or(0)
	for w := range i.items {
		if it := &i.items[w]; it.state != absent {
			i.memory += it.MemoryKB
			if it.state != held && it.state != joined {
				i.memory += i.runKB(it.MemoryKB)
			}
		}
	}
	i.said, i.idle = math.Inf(1), 0 // said anew, in the form that now holds
}

func (i *Instance) takeServer(s settings.Server) {
	i.server, i.stops = s, s.StopMode == settings.StopAbort || s.StopMode == settings.StopSuspend
	i.cores = int(min(max(s.Cores.Or(1), 1), 4096))
	i.ram = max(s.MemoryKB.Or(1e6), 1)
	switch i.callShare = 1e6; s.Dependency {
	case settings.DependencyShared:
		i.callShare = max(s.CallQuota.Or(1), leastShare)
	case settings.DependencyTier:
		i.callShare = max(math.Floor(s.MaxConcurrencyPerCore.Or(2)*float64(i.cores)*crowdPart), 1)
	}
}

// SetClass gives the class of an index (in use, free or the next) its figures. What was learned of it stays.
func (i *Instance) SetClass(n int, c settings.Class) {
	if n == len(i.classes) {
		i.classes = append(i.classes, class{free: true})
	}
	b := &i.classes[n]
	b.safe, b.keyed, b.calls = c.Idempotency == settings.Safe, c.Idempotency == settings.Idempotent, c.MakesCalls.On()
	b.value, b.poorer = c.Weight.Or(1), c.DegradedWeight.Or(0)
	b.due, b.patience, b.window = c.LatencyObjective.Seconds(1), c.CallerTimeout.Seconds(2), c.KeyWindow.Seconds(10)
	if b.free {
		first := max(b.due.Seconds()/4, 1e-3) // until some have ended
		b.latency, b.base, b.span, b.perHint, b.ended, b.free = first, first, first, 0, 0, false
		if i.inUse++; i.inUse == 1 || n < i.lowest {
			i.lowest = n
		}
	}
}

// FreeClass frees an index of which nothing is in hand any more.
func (i *Instance) FreeClass(n int) {
	i.classes[n].free = true
	for i.inUse--; i.inUse > 0 && i.classes[i.lowest].free; i.lowest++ {
	}
}

// firstClass is the measure for the server as a whole.
func (i *Instance) firstClass() *class { return &i.classes[i.lowest] }

// SetTenant gives the tenant of an index its quota, and leaves its bucket as full as it is.
func (i *Instance) SetTenant(n int, t settings.Tenant) {
	if n == len(i.tenants) {
		i.tenants = append(i.tenants, share.New())
	}
	i.tenants[n].Quota = t.Quota.Or(0)
}

// FreeTenant frees an index of which nothing is in hand any more.
func (i *Instance) FreeTenant(n int) { i.tenants[n] = share.New() }
