package settingsjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"thymechute/policy/settings"
)

// decodeClasses decodes the list of classes into d.classes.
func (d *decoder) decodeClasses() error {
	d.classes = nil
	names := newNameChecker(d, "classes", func(name string) bool {
		return slices.ContainsFunc(d.classes, func(class settings.Class) bool { return class.Name == name })
	})
	var entry section // reused for all entries
	return d.decodeList("classes", settings.MaxClasses, func(index int) error {
		clear(entry)
		err := d.in.Decode(&entry)
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			d.fail(fmt.Sprint("classes.", index), "a JSON "+mismatch.Value, "an object")
		} else if err != nil {
			return err
		}
		class := d.class(fmt.Sprint("classes.", index), entry)
		names.check(index, class.Name)
		d.classes = append(d.classes, class)
		return nil
	})
}

// class returns the class that an entry of the list describes; prefix is the key of the entry.
func (d *decoder) class(prefix string, entry section) settings.Class {
	class := settings.Class{
		Name:             d.text(prefix, "name", entry),
		Idempotency:      settings.Idempotency(d.enum(prefix, "repeat", entry, "repeatable", "by_key", "once")),
		Weight:           d.number(prefix, "worth", entry),
		LatencyObjective: d.number(prefix, "aim_s", entry),
		CallerTimeout:    d.number(prefix, "deadline_s", entry),
		KeyWindow:        d.number(prefix, "window_s", entry),
	}
	objective := class.LatencyObjective.Or(0)
	timeout := class.CallerTimeout.Or(objective)
	if objective > timeout {
		d.fail(prefix+".aim_s", compact(entry["aim_s"]), fmt.Sprintf("at most its deadline_s, %g", timeout))
	}
	return class
}

// applyClassLists sets those fields of the classes that the domain section has in lists, with one entry for each class.
func (d *decoder) applyClassLists(classes []settings.Class) {
	domain := d.section("domain")
	makesCalls := decodeEntries(d, domain, "calls_by_class", d.flag)
	degradedWeights := decodeEntries(d, domain, "degraded_worth", d.number)
	for index := range min(len(makesCalls), len(classes)) {
		classes[index].MakesCalls = makesCalls[index]
	}
	for index := range min(len(degradedWeights), len(classes)) {
		classes[index].DegradedWeight = degradedWeights[index]
	}
}
