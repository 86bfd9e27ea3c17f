package operator

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"thymechute/deploy"
	"thymechute/internal/xsd"
)

const head, tail = `<thymechute xmlns="urn:thymechute:operator:1">` + "\n", "\n</thymechute>"

// The schema and the structures name the same things, of the same kinds: neither can drift.
func TestSchemaAndStructuresAgree(t *testing.T) {
	type entry struct {
		many bool
		kind string
	}
	told, held := map[string]entry{}, map[string]entry{}
	schema, err := xsd.Parse(deploy.Schema)
	if err != nil {
		t.Fatal(err)
	}
	schema.Walk(func(path string, many bool, kind xsd.Kind) { told[path] = entry{many, string(kind)} })
	kinds := map[reflect.Kind]xsd.Kind{reflect.String: xsd.Text, reflect.Int: xsd.Whole, reflect.Float64: xsd.Decimal, reflect.Bool: xsd.Flag}
	var walk func(at string, of reflect.Type)
	walk = func(at string, of reflect.Type) {
		for i := range of.NumField() {
			f := of.Field(i)
			name, attr := tag(f)
			switch {
			case name == "-":
			case attr:
				held[at+"@"+name] = entry{false, string(kinds[f.Type.Kind()])}
			default:
				held[at+"/"+name] = entry{f.Type.Kind() == reflect.Slice, ""}
				walk(at+"/"+name, f.Type.Elem())
			}
		}
	}
	walk("thymechute", reflect.TypeFor[File]())
	for path, e := range told {
		if held[path] != e {
			t.Errorf("%s: the schema says %v, the program %v", path, e, held[path])
		}
	}
	for path := range held {
		if _, ok := told[path]; !ok {
			t.Errorf("%s: not in the schema", path)
		}
	}
}

func TestExampleIsRead(t *testing.T) {
	f, err := Load("../../deploy/thymechute.xml")
	if err != nil {
		t.Fatal(err)
	}
	a := f.AMQP
	if a.HeartbeatS != 10 || a.MostCredit != 256 || a.Fields.Band != "type" || a.Queues[0].DeadLetterKey != "readings" ||
		a.Queues[0].Redelivered != "dead-letter" || a.User != "guest" || a.Login.Vhost != "/" {
		t.Errorf("%+v", a)
	}
}

func TestAbsentIsOff(t *testing.T) {
	if f, err := Read([]byte(head + tail)); err != nil || f.AMQP != nil {
		t.Errorf("%+v, %v", f, err)
	}
}

// Every fault is one line that names the line, the element, what was found and what is expected.
func TestFaults(t *testing.T) {
	login := filepath.Join(t.TempDir(), "login")
	if err := os.WriteFile(login, []byte("very secret words"), 0o600); err != nil {
		t.Fatal(err)
	}
	broker, queue := `<broker address="127.0.0.1:5672"/>`, `<queue name="q" dead-letter="d"/>`
	for text, want := range map[string]string{
		`<amqp>` + broker + `</amqp>`:                                                      "line 2, amqp: found element queue 0 times",
		`<amqp>` + queue + broker + `</amqp>`:                                              "line 2, amqp: found element broker, expected in this order",
		`<amqp heartbeat-s="0">` + broker + queue + `</amqp>`:                              `line 2, amqp: found heartbeat-s="0", expected a whole number from 1 to 600`,
		`<amqp heartbeat-s="1e1">` + broker + queue + `</amqp>`:                            `found heartbeat-s="1e1"`,
		`<amqp heart="1">` + broker + queue + `</amqp>`:                                    "found attribute heart, expected one of:",
		`<amqp><broker/>` + queue + `</amqp>`:                                              "line 2, broker: found no address",
		"<amqp>\n<broker address=\"nowhere\"/>" + queue + `</amqp>`:                        `line 3, broker: found address="nowhere"`,
		`<amqp>` + broker + `<queue name="q"/></amqp>`:                                     "found no dead-letter",
		`<amqp>` + broker + queue + queue + `</amqp>`:                                      "found a second q",
		`<amqp least-credit="9" most-credit="8">` + broker + queue + `</amqp>`:             "found least-credit=9, expected at most most-credit=8",
		`<amqp>` + broker + queue + `</amqp><amqp>` + broker + queue + `</amqp>`:           "found element amqp the 2th time",
		`<amqp>` + broker + `<login file="/no/such"/>` + queue + `</amqp>`:                 "line 2, login: found open /no/such",
		`<amqp>` + broker + `<login file="` + login + `"/>` + queue + `</amqp>`:            "expected one line, user:password",
		`<amqp>` + broker + `<tls ca="` + login + `"/>` + queue + `</amqp>`:                "line 2, tls: found no certificate",
		`<amqp>` + broker + queue + `<fields band="colour"/></amqp>`:                       `line 2, fields: found band="colour"`,
		`<amqp>` + broker + `<queue name="q" dead-letter="d" redelivered="maybe"/></amqp>`: "expected one of dead-letter, run",
		`<amqp>words` + broker + queue + `</amqp>`:                                         `found text "words"`,
		`<queue xmlns="urn:other"/>`:                                                       "found element queue",
		`<amqp>`:                                                                           "expected well-formed XML",
		`<!DOCTYPE x [<!ENTITY e "e">]>`:                                                   "found a declaration",
		`<amqp>` + broker + `<queue name="&e;" dead-letter="d"/></amqp>`:                   "expected well-formed XML",
		`<amqp>` + broker + `<queue name="q" dead-letter="d"><argument name="x" type="integer" value="many"/></queue></amqp>`: "found value many",
	} {
		_, err := Read([]byte(head + text + tail))
		var f *xsd.Fault
		if !errors.As(err, &f) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s:\n%v, want %q", text, err, want)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("a credential is told: %v", err)
		}
	}
}

func TestFleetIsReadWithItsDefaults(t *testing.T) {
	f, err := Read([]byte(head + `<fleet bind="127.0.0.1:7946"><seed address="127.0.0.1:7947"/></fleet>` + tail))
	if err != nil {
		t.Fatal(err)
	}
	if g := f.Fleet; g == nil || g.Bind != "127.0.0.1:7946" || len(g.Seeds) != 1 || g.Most != 1024 || g.ProbeMS != 1000 ||
		g.SyncMS != 5000 || g.Zone != "zone" || g.Region != "" || f.AMQP != nil {
		t.Fatalf("%+v", f.Fleet)
	}
	_, err = Read([]byte(head + `<fleet bind="127.0.0.1:7946" most="0"/>` + tail))
	if err == nil || !strings.Contains(err.Error(), "most") || !strings.Contains(err.Error(), "line") {
		t.Fatalf("a view of no members: %v", err)
	}
}

// The names of a zone and a region are held to the bytes that a member's record carries, before anything starts.
func TestZoneAndRegionAreReadAndBounded(t *testing.T) {
	with := func(attributes string) string {
		return head + `<fleet bind="127.0.0.1:7946"` + attributes + `/>` + tail
	}
	long, wide := strings.Repeat("r", 64), strings.Repeat("é", 32)
	for _, place := range []string{"eu", long, wide} {
		f, err := Read([]byte(with(` zone="` + place + `" region="` + place + `"`)))
		if err != nil || f.Fleet.Zone != place || f.Fleet.Region != place {
			t.Errorf("%q: %v, %+v", place, err, f)
		}
	}
	for _, name := range []string{"zone", "region"} {
		for value, want := range map[string]string{
			"":         `line 2, fleet: found ` + name + `="", expected a text of 1 to 64 characters`,
			long + "r": `line 2, fleet: found ` + name + `="rrr`,
			wide + "é": `line 2, fleet: found ` + name + `="` + wide + `é", expected at most 64 bytes`,
		} {
			_, err := Read([]byte(with(` ` + name + `="` + value + `"`)))
			var fault *xsd.Fault
			if !errors.As(err, &fault) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s of %d bytes: %v, want %q", name, len(value), err, want)
			}
		}
	}
}

func TestLogOfTheFleetIsReadAndChecked(t *testing.T) {
	with := func(attributes string) string {
		return head + `<fleet bind="127.0.0.1:7946"><log bind="127.0.0.1:7947"` + attributes + `/></fleet>` + tail
	}
	f, err := Read([]byte(with("")))
	if err != nil {
		t.Fatal(err)
	}
	if l := f.Fleet.Log; l == nil || l.Bind != "127.0.0.1:7947" || l.Voters != 5 || l.LeaseMS != 2000 || !l.FoundAt.IsZero() {
		t.Errorf("%+v", f.Fleet.Log)
	}
	if f, err = Read([]byte(with(` found="2026-12-02T03:04:05+01:00"`))); err != nil || f.Fleet.Log.FoundAt.Unix() != 1796177045 {
		t.Errorf("%+v, %v", f.Fleet.Log, err)
	}
	for attributes, want := range map[string]string{
		` voters="4"`:     `line 2, log: found voters="4", expected 3 or 5`,
		` voters="7"`:     `line 2, log: found voters="7"`,
		` lease-ms="10"`:  `line 2, log: found lease-ms="10"`,
		` found="always"`: `line 2, log: found found="always", expected a time as`,
	} {
		if _, err := Read([]byte(with(attributes))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", attributes, err, want)
		}
	}
}
