package members

import (
	"fmt"

	"thymechute/internal/fleet/membership"
	"thymechute/internal/lab/scale"
)

// Bounds of membership: half of those of the control plane. The rest is for the configuration and the replicated log.
const (
	maxBytesPerSecond = scale.MaxControlBytesPerSecond / 2
	maxCPUPercent     = scale.MaxCPUPercent / 2
)

// The restarts of a fleet of the target size.
const (
	restartsPerDay           = 5400.0
	secondsPerDay            = 86_400.0
	releaseRestartsPerSecond = float64(scale.TargetMembers) / 2 / 3600 // half of the fleet in an hour
)

// seriesSpec specifies one series: its name, its bound, and how its value is read from an outcome.
type seriesSpec struct {
	name  string
	bound float64 // 0 for none
	value func(Outcome) float64
}

func seriesSpecs() []seriesSpec {
	return []seriesSpec{
		{"bytes_s_member_quiet", maxBytesPerSecond, func(o Outcome) float64 {
			return o.Quiet.DatagramBytes/o.Quiet.Seconds + o.pushPullBytesPerSecond()
		}},
		{"exchange_bytes_s_member", 0, Outcome.pushPullBytesPerSecond},
		{"bytes_one_exchange", 0, func(o Outcome) float64 { return o.PushPullBytes }},
		{"messages_s_member", 0, func(o Outcome) float64 { return o.Quiet.Datagrams / o.Quiet.Seconds }},
		{"processor_percent_member", maxCPUPercent, func(o Outcome) float64 { return o.Quiet.CPUMillis / o.Quiet.Seconds / 10 }},
		{"resident_bytes_member", 0, func(o Outcome) float64 { return o.ResidentBytes }},
		{"bytes_member_one_record_changed", 0, func(o Outcome) float64 { return o.UpdateBytes }},
		{"bytes_member_one_restart", 0, func(o Outcome) float64 { return o.RestartBytes }},
		{"detect_first_ms", 0, func(o Outcome) float64 { return o.DetectFirstMillis }},
		{"detect_all_ms", 0, func(o Outcome) float64 { return o.DetectAllMillis }},
		{"start_bytes_member", 0, func(o Outcome) float64 { return o.Start.Bytes }},
		{"region_cut_bytes_s_member", 0, func(o Outcome) float64 { return o.PartitionBytesPerSecond }},
		{"region_heal_agree_ms", 0, func(o Outcome) float64 { return o.HealAgreeMillis }},
		{"region_heal_bytes_member", 0, func(o Outcome) float64 { return o.Heal.Bytes }},
	}
}

// pushPullBytesPerSecond returns the push/pull traffic of a member: the measured bytes of one push/pull, at memberlist's interval for
// the fleet's size.
func (o Outcome) pushPullBytesPerSecond() float64 {
	return o.PushPullBytes / membership.PushPullInterval(defaultSyncInterval, o.Size).Seconds()
}

// Summarize fits the outcomes of all sizes and extrapolates the figures to the target size.
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
	addTargetFigures(result, atTarget)
	for _, outcome := range outcomes {
		addSizeFigures(result, outcome)
	}
	result.NotRun = []string{
		fmt.Sprintf("more than %d members: the figures at %d are extrapolated", largest, scale.TargetMembers),
		"delay and packet loss between regions: all members run on one machine",
		"a region partitioned for minutes: it was partitioned for 15 s",
		"the 5,400 restarts of a day: five restarts were run, one per 1.5 s, and the cost of one was multiplied",
	}
	return result, nil
}

// addSeries adds all series and returns their values at the target size by name.
func addSeries(result *scale.Result, outcomes []Outcome, largest int) (map[string]float64, error) {
	atTarget := map[string]float64{}
	for _, f := range seriesSpecs() {
		series := scale.Series{Name: f.name, Role: "member", SizeUnit: "members", Target: scale.TargetMembers, Bound: f.bound,
			Coverage: fmt.Sprintf("up to %d hollow members in one process", largest)}
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

// addTargetFigures adds the figures of restarts and record updates at the target size.
func addTargetFigures(result *scale.Result, atTarget map[string]float64) {
	quiet, restart := atTarget["bytes_s_member_quiet"], atTarget["bytes_member_one_restart"]
	ordinaryDay := quiet + restart*restartsPerDay/secondsPerDay
	result.SetFigure("bytes_s_member_ordinary_day_at_target", ordinaryDay)
	result.SetFigure("bytes_s_member_release_at_target", quiet+restart*releaseRestartsPerSecond)
	if update := atTarget["bytes_member_one_record_changed"]; update > 0 {
		result.SetFigure("record_changes_s_fleet_within_share", max(maxBytesPerSecond-ordinaryDay, 0)/update)
	}
}

// addSizeFigures adds the figures that exist per size, and the faults of that size.
func addSizeFigures(result *scale.Result, outcome Outcome) {
	put := func(name string, value float64) { result.SetFigure(fmt.Sprintf("%s_%d", name, outcome.Size), value) }
	put("false_deaths", float64(outcome.FalseDeaths))
	put("false_deaths_after_heal", float64(outcome.FalseDeathsAfterHeal))
	if outcome.SettleTimeouts+int(outcome.FailedUpdates) > 0 {
		put("waits_without_quiet", float64(outcome.SettleTimeouts))
		put("late_changes", float64(outcome.FailedUpdates))
	}
	for _, fault := range outcome.Faults {
		result.AddFault("%d members: %s", outcome.Size, fault)
	}
	for kind, bytes := range outcome.Trace.Kinds {
		put("sent_bytes_s_"+kind, bytes/outcome.Trace.Seconds)
	}
}
