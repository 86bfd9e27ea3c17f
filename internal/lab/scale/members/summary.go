package members

import (
	"fmt"

	"thymechute/internal/fleet/membership"
	"thymechute/internal/lab/scale"
)

// Shares of the bounds that membership may take; the rest is for the configuration and the replicated log.
const (
	maxBytesPerSecond = scale.MaxControlBytesPerSecond / 2
	maxCorePercent    = scale.MaxCPUPercent / 2
)

// The restarts of a fleet of the target size.
const (
	restartsPerDay           = 5400.0
	secondsPerDay            = 86_400.0
	releaseRestartsPerSecond = float64(scale.TargetMembers) / 2 / 3600 // half of the fleet in an hour
)

// figure is one series, and how its value is read from an outcome.
type figure struct {
	name  string
	bound float64 // 0: none
	value func(Outcome) float64
}

func figures() []figure {
	return []figure{
		{"bytes_s_member_quiet", maxBytesPerSecond, func(o Outcome) float64 { return o.Quiet.DatagramBytes/o.Quiet.Seconds + o.pushPullRate() }},
		{"exchange_bytes_s_member", 0, Outcome.pushPullRate},
		{"bytes_one_exchange", 0, func(o Outcome) float64 { return o.ExchangeBytes }},
		{"messages_s_member", 0, func(o Outcome) float64 { return o.Quiet.Datagrams / o.Quiet.Seconds }},
		{"processor_percent_member", maxCorePercent, func(o Outcome) float64 { return o.Quiet.ProcessorMillis / o.Quiet.Seconds / 10 }},
		{"resident_bytes_member", 0, func(o Outcome) float64 { return o.ResidentBytes }},
		{"bytes_member_one_record_changed", 0, func(o Outcome) float64 { return o.ChangeBytes }},
		{"bytes_member_one_restart", 0, func(o Outcome) float64 { return o.RestartBytes }},
		{"detect_first_ms", 0, func(o Outcome) float64 { return o.DetectFirstMillis }},
		{"detect_all_ms", 0, func(o Outcome) float64 { return o.DetectAllMillis }},
		{"start_bytes_member", 0, func(o Outcome) float64 { return o.Start.Bytes }},
		{"region_cut_bytes_s_member", 0, func(o Outcome) float64 { return o.CutBytes }},
		{"region_heal_agree_ms", 0, func(o Outcome) float64 { return o.HealAgreeMillis }},
		{"region_heal_bytes_member", 0, func(o Outcome) float64 { return o.Heal.Bytes }},
	}
}

// pushPullRate returns what push/pulls cost a member per second: the measured bytes of one, at the interval for the size.
func (o Outcome) pushPullRate() float64 {
	return o.ExchangeBytes / membership.PushPullInterval(defaultSyncInterval, o.Size).Seconds()
}

// Summarize fits the outcomes of the sizes and works out the figures at the target size.
func Summarize(seed uint64, outcomes []Outcome) (*scale.Result, error) {
	result := &scale.Result{Part: Part{}.Name(), Seed: seed}
	largest := 0
	for _, outcome := range outcomes {
		largest = max(largest, outcome.Size)
	}
	atTarget, err := addSeries(result, outcomes, largest)
	if err != nil {
		return nil, err
	}
	putTargetFigures(result, atTarget)
	for _, outcome := range outcomes {
		putSizeFigures(result, outcome)
	}
	result.NotRun = []string{
		fmt.Sprintf("sizes past %d: the figures at %d are worked out", largest, scale.TargetMembers),
		"delay and loss between regions: all members share one machine",
		"a region cut for minutes: cut for 15 s",
		"a day's 5,400 restarts: five, one each 1.5 s, and the cost of one multiplied",
	}
	return result, nil
}

// addSeries adds one series a figure and returns their values at the target size.
func addSeries(result *scale.Result, outcomes []Outcome, largest int) (map[string]float64, error) {
	atTarget := map[string]float64{}
	for _, f := range figures() {
		series := scale.Series{Name: f.name, Role: "member", SizeUnit: "members", Target: scale.TargetMembers, Bound: f.bound,
			Coverage: fmt.Sprintf("to %d hollow members in one process", largest)}
		for _, outcome := range outcomes {
			series.Points = append(series.Points, scale.Point{Size: float64(outcome.Size), Value: f.value(outcome)})
		}
		if err := result.AddSeries(series); err != nil {
			return nil, err
		}
		atTarget[f.name] = result.Series[len(result.Series)-1].Extrapolated
	}
	return atTarget, nil
}

// putTargetFigures adds what restarts and record updates make at the target size.
func putTargetFigures(result *scale.Result, atTarget map[string]float64) {
	quiet, restart := atTarget["bytes_s_member_quiet"], atTarget["bytes_member_one_restart"]
	ordinaryDay := quiet + restart*restartsPerDay/secondsPerDay
	result.SetFigure("bytes_s_member_ordinary_day_at_target", ordinaryDay)
	result.SetFigure("bytes_s_member_release_at_target", quiet+restart*releaseRestartsPerSecond)
	if update := atTarget["bytes_member_one_record_changed"]; update > 0 {
		result.SetFigure("record_changes_s_fleet_within_share", max(maxBytesPerSecond-ordinaryDay, 0)/update)
	}
}

// putSizeFigures adds the figures of one size only, and its faults.
func putSizeFigures(result *scale.Result, outcome Outcome) {
	put := func(name string, value float64) { result.SetFigure(fmt.Sprintf("%s_%d", name, outcome.Size), value) }
	put("false_deaths", float64(outcome.FalseDeaths))
	put("false_deaths_after_heal", float64(outcome.FalseDeathsHeal))
	if outcome.Unsettled+int(outcome.LateChanges) > 0 {
		put("waits_without_quiet", float64(outcome.Unsettled))
		put("late_changes", float64(outcome.LateChanges))
	}
	for _, fault := range outcome.Faults {
		result.AddFault("%d members: %s", outcome.Size, fault)
	}
	for kind, bytes := range outcome.Trace.Kinds {
		put("sent_bytes_s_"+kind, bytes/outcome.Trace.Seconds)
	}
}
