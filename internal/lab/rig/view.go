package rig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// agreementTimeout is the timeout of WaitForAgreement.
const agreementTimeout = 10 * time.Second

// maxQuotedLogBytes limits the end of the log that a DisagreementError quotes of a member that logged no view.
const maxQuotedLogBytes = 400

// FleetView is the last view of the fleet that a member has logged.
type FleetView struct {
	Rank    int    `json:"rank"`
	Members int    `json:"members"`
	Names   string `json:"names"` // sorted, separated by commas
}

// FleetView returns the last view that the instance has logged; false if there is none.
func (i *Instance) FleetView() (FleetView, bool) {
	const marker = "\tfleet view\t"
	log := i.Log()
	at := strings.LastIndex(log, marker)
	if at < 0 {
		return FleetView{}, false
	}
	fields, _, _ := strings.Cut(log[at+len(marker):], "\n")
	var view FleetView
	return view, json.Unmarshal([]byte(fields), &view) == nil
}

// WaitForAgreement waits until the view of each named member has exactly the named members, and their ranks are 0 to n-1. It returns
// the time that this took, or a *DisagreementError after agreementTimeout.
func (f *Fleet) WaitForAgreement(names []string) (time.Duration, error) {
	start := time.Now()
	expected := strings.Join(slices.Sorted(slices.Values(names)), ",")
	deadline := time.NewTimer(agreementTimeout)
	defer deadline.Stop()
	for {
		if f.viewsAgree(names, expected) {
			return time.Since(start), nil
		}
		if !f.waitForLogWrite(names, deadline.C) {
			return 0, f.newDisagreementError(names, expected)
		}
	}
}

// viewsAgree reports whether the views of the named members have the expected names and their ranks are 0 to n-1.
func (f *Fleet) viewsAgree(names []string, expected string) bool {
	ranks := map[int]bool{}
	for _, name := range names {
		view, ok := f.members[name].FleetView()
		if !ok || view.Names != expected || view.Rank < 0 || view.Rank >= len(names) || ranks[view.Rank] {
			return false
		}
		ranks[view.Rank] = true
	}
	return true
}

// waitForLogWrite waits until one of the named members writes to its log. It returns false if none does before the deadline.
func (f *Fleet) waitForLogWrite(names []string, deadline <-chan time.Time) bool {
	wake := make(chan struct{}, 1)
	stop := make(chan struct{})
	defer close(stop)
	for _, name := range names {
		go f.members[name].forwardLogWrite(wake, stop)
	}
	select {
	case <-wake:
		return true
	case <-deadline:
		return false
	}
}

// forwardLogWrite signals wake at the next write to the instance's log, or returns when stop is closed.
func (i *Instance) forwardLogWrite(wake chan<- struct{}, stop <-chan struct{}) {
	select {
	case <-i.logWritten:
		select {
		case wake <- struct{}{}:
		default:
		}
	case <-stop:
	}
}

// newDisagreementError returns a *DisagreementError with the present views.
func (f *Fleet) newDisagreementError(names []string, expected string) error {
	views := map[string]FleetView{}
	var silent strings.Builder
	for _, name := range names {
		view, ok := f.members[name].FleetView()
		views[name] = view
		if !ok {
			log := f.members[name].Log()
			fmt.Fprintf(&silent, "; %s logged no view, end of its log: %q", name, log[max(len(log)-maxQuotedLogBytes, 0):])
		}
	}
	return &DisagreementError{Expected: expected, Views: views, LogTails: silent.String()}
}

// DisagreementError reports that the members of a fleet did not agree in time.
type DisagreementError struct {
	Expected string // the names of the members, sorted, separated by commas
	Views    map[string]FleetView
	LogTails string // the ends of the logs of the members that logged no view
}

// Error implements error.
func (e *DisagreementError) Error() string {
	views := make([]string, 0, len(e.Views))
	for _, name := range slices.Sorted(maps.Keys(e.Views)) {
		views = append(views, fmt.Sprintf("%s: %+v", name, e.Views[name]))
	}
	return fmt.Sprintf("members %s did not agree within %v; their views are %s%s", e.Expected, agreementTimeout,
		strings.Join(views, ", "), e.LogTails)
}
