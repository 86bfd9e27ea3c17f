//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const deadLetters = "readings.given-up"

// operatorFile writes the operator's file: deploy/thymechute.xml with the broker's address.
func (w *world) operatorFile(address, attributes string) (string, error) {
	path := filepath.Join(w.temp, "operator.xml")
	text := fmt.Sprintf(`<thymechute xmlns="urn:thymechute:operator:1"><amqp%s><broker address="%s"/>`+
		`<queue name="readings" dead-letter="%s"/></amqp></thymechute>`, attributes, address, deadLetters)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// settingsOf returns the settings of a small deployment: gebze-main with a key entry of entryKB.
func settingsOf(entryKB float64) object {
	return object{
		"fleet_size": 5, "worth_by": "request", "over_share_worth": 0.05,
		"classes": []object{
			{"name": "trace", "repeat": "repeatable", "aim_s": 2.2, "deadline_s": 5.7, "worth": 1, "window_s": 5},
			{"name": "excursion", "repeat": "by_key", "aim_s": 1.4, "deadline_s": 3.5, "worth": 3, "window_s": 10.422}},
		"tenants": []object{{"name": "marmara-gida", "quota_per_s": 0}},
		"domain": object{"blowup": 8, "caller_idle_s": 30, "calls_by_class": []bool{false, false}, "clients_total": 4, "cold": false,
			"cores": 6, "depends_on": "off", "entry_kb": entryKB, "gauges": []string{"cpu_busy", "runnable"}, "halt": "abort",
			"ram_kb": 39138, "say": "threshold", "said_for_s": 1},
		"policy_limits": object{"max_retry_after_s": 1, "retry_after": true},
		"rules": object{"answer_slack_s": 0.06, "cold_from": 0.2, "drain_grace_s": 1.8, "fall_multiple": 8, "overload_for_s": 2,
			"warm_after_s": 18}}
}
