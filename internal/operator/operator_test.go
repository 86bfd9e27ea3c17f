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

// Text before and after the elements below the root of a settings file.
const (
	documentStart = `<thymechute xmlns="urn:thymechute:operator:1">` + "\n"
	documentEnd   = "\n</thymechute>"
)

// Everything in the schema has a struct field of the same kind, and the structs have nothing else.
func TestSchemaMatchesStructs(t *testing.T) {
	type entry struct {
		isRepeatable bool
		kind         string
	}
	declared, implemented := map[string]entry{}, map[string]entry{}
	schema, err := xsd.Compile(deploy.Schema)
	if err != nil {
		t.Fatal(err)
	}
	schema.Walk(func(d xsd.Declaration) { declared[d.Path] = entry{d.IsRepeatable, string(d.Kind)} })
	kinds := map[reflect.Kind]xsd.Kind{reflect.String: xsd.String, reflect.Int: xsd.Integer, reflect.Float64: xsd.Decimal, reflect.Bool: xsd.Boolean}
	var walk func(path string, structType reflect.Type)
	walk = func(path string, structType reflect.Type) {
		for i := range structType.NumField() {
			f := structType.Field(i)
			name, isAttribute := fieldTag(f)
			switch {
			case name == "-":
			case isAttribute:
				implemented[path+"@"+name] = entry{false, string(kinds[f.Type.Kind()])}
			default:
				implemented[path+"/"+name] = entry{f.Type.Kind() == reflect.Slice, ""}
				walk(path+"/"+name, f.Type.Elem())
			}
		}
	}
	walk("thymechute", reflect.TypeFor[Settings]())
	for path, e := range declared {
		if implemented[path] != e {
			t.Errorf("%s: the schema has %v, the structs have %v", path, e, implemented[path])
		}
	}
	for path := range implemented {
		if _, ok := declared[path]; !ok {
			t.Errorf("%s: in the structs, but not in the schema", path)
		}
	}
}

func TestLoadExample(t *testing.T) {
	f, err := Load("../../deploy/thymechute.xml")
	if err != nil {
		t.Fatal(err)
	}
	a := f.AMQP
	if a.HeartbeatSeconds != 10 || a.MaxCredit != 256 || a.Fields.Class != "type" || a.Queues[0].DeadLetterRoutingKey != "readings" ||
		a.Queues[0].OnRedelivery != "dead-letter" || a.Username != "guest" || a.Credentials.Vhost != "/" {
		t.Errorf("got %+v", a)
	}
}

func TestAbsentElementIsDisabled(t *testing.T) {
	if f, err := Parse([]byte(documentStart + documentEnd)); err != nil || f.AMQP != nil {
		t.Errorf("got %+v, error %v", f, err)
	}
}

// An error is a single line: line number, element, what was found and what was expected.
func TestParseReportsInvalidSettings(t *testing.T) {
	login := filepath.Join(t.TempDir(), "login")
	if err := os.WriteFile(login, []byte("very secret words"), 0o600); err != nil {
		t.Fatal(err)
	}
	broker, queue := `<broker address="127.0.0.1:5672"/>`, `<queue name="q" dead-letter="d"/>`
	for text, want := range map[string]string{
		`<amqp>` + broker + `</amqp>`:                                                      "line 2, amqp: found element queue 0 times",
		`<amqp>` + queue + broker + `</amqp>`:                                              "line 2, amqp: found element broker, expected elements in this order",
		`<amqp heartbeat-s="0">` + broker + queue + `</amqp>`:                              `line 2, amqp: found heartbeat-s="0", expected a whole number from 1 to 600`,
		`<amqp heartbeat-s="1e1">` + broker + queue + `</amqp>`:                            `found heartbeat-s="1e1"`,
		`<amqp heart="1">` + broker + queue + `</amqp>`:                                    "found attribute heart, expected one of:",
		`<amqp><broker/>` + queue + `</amqp>`:                                              "line 2, broker: found no attribute address",
		"<amqp>\n<broker address=\"nowhere\"/>" + queue + `</amqp>`:                        `line 3, broker: found address="nowhere"`,
		`<amqp>` + broker + `<queue name="q"/></amqp>`:                                     "found no attribute dead-letter",
		`<amqp>` + broker + queue + queue + `</amqp>`:                                      "line 2, queue: found a second queue q, expected each queue once",
		`<amqp least-credit="9" most-credit="8">` + broker + queue + `</amqp>`:             "found least-credit=9, expected at most most-credit=8",
		`<amqp>` + broker + queue + `</amqp><amqp>` + broker + queue + `</amqp>`:           "found element amqp 2 times, expected at most 1",
		`<amqp>` + broker + `<login file="/no/such"/>` + queue + `</amqp>`:                 "line 2, login: found open /no/such",
		`<amqp>` + broker + `<login file="` + login + `"/>` + queue + `</amqp>`:            "expected one line, user:password",
		`<amqp>` + broker + `<tls ca="` + login + `"/>` + queue + `</amqp>`:                "line 2, tls: found no certificate in " + login + ", expected PEM-encoded certificates",
		`<amqp>` + broker + queue + `<fields band="colour"/></amqp>`:                       `line 2, fields: found band="colour"`,
		`<amqp>` + broker + `<queue name="q" dead-letter="d" redelivered="maybe"/></amqp>`: "expected one of dead-letter, run",
		`<amqp>words` + broker + queue + `</amqp>`:                                         `found text "words"`,
		`<queue xmlns="urn:other"/>`:                                                       "found element queue",
		`<amqp>`:                                                                           "expected well-formed XML",
		`<!DOCTYPE x [<!ENTITY e "e">]>`:                                                   "found a declaration",
		`<amqp>` + broker + `<queue name="&e;" dead-letter="d"/></amqp>`:                   "expected well-formed XML",
		`<amqp>` + broker + `<queue name="q" dead-letter="d"><argument name="x" type="integer" value="many"/></queue></amqp>`: "found value many",
	} {
		_, err := Parse([]byte(documentStart + text + documentEnd))
		var validation *xsd.ValidationError
		if !errors.As(err, &validation) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s:\ngot error %v, want %q in one line", text, err, want)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("the error contains a credential: %v", err)
		}
	}
}

func TestParseFleetDefaults(t *testing.T) {
	f, err := Parse([]byte(documentStart + `<fleet bind="127.0.0.1:7946"><seed address="127.0.0.1:7947"/></fleet>` + documentEnd))
	if err != nil {
		t.Fatal(err)
	}
	if g := f.Fleet; g == nil || g.Bind != "127.0.0.1:7946" || len(g.Seeds) != 1 || g.MaxMembers != 1024 || g.ProbeIntervalMS != 1000 ||
		g.SyncIntervalMS != 5000 || g.Zone != "zone" || g.Region != "" || f.AMQP != nil {
		t.Fatalf("got %+v", f.Fleet)
	}
	_, err = Parse([]byte(documentStart + `<fleet bind="127.0.0.1:7946" most="0"/>` + documentEnd))
	if err == nil || !strings.Contains(err.Error(), "most") || !strings.Contains(err.Error(), "line") {
		t.Fatalf("most=0: got %v, want an error that names the line and the attribute", err)
	}
}

// Zone and region are limited in bytes, not only in characters, as a member's record is.
func TestParseZoneAndRegionLimits(t *testing.T) {
	withAttributes := func(attributes string) string {
		return documentStart + `<fleet bind="127.0.0.1:7946"` + attributes + `/>` + documentEnd
	}
	long, wide := strings.Repeat("r", 64), strings.Repeat("é", 32)
	for _, location := range []string{"eu", long, wide} {
		f, err := Parse([]byte(withAttributes(` zone="` + location + `" region="` + location + `"`)))
		if err != nil || f.Fleet.Zone != location || f.Fleet.Region != location {
			t.Errorf("%q: error %v, got %+v", location, err, f)
		}
	}
	for _, name := range []string{"zone", "region"} {
		for value, want := range map[string]string{
			"":         `line 2, fleet: found ` + name + `="", expected a string of 1 to 64 characters`,
			long + "r": `line 2, fleet: found ` + name + `="rrr`,
			wide + "é": `line 2, fleet: found ` + name + `="` + wide + `é", expected at most 64 bytes`,
		} {
			_, err := Parse([]byte(withAttributes(` ` + name + `="` + value + `"`)))
			var validation *xsd.ValidationError
			if !errors.As(err, &validation) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s of %d bytes: got error %v, want %q", name, len(value), err, want)
			}
		}
	}
}

func TestParseFleetLog(t *testing.T) {
	withAttributes := func(attributes string) string {
		return documentStart + `<fleet bind="127.0.0.1:7946"><log bind="127.0.0.1:7947"` + attributes + `/></fleet>` + documentEnd
	}
	f, err := Parse([]byte(withAttributes("")))
	if err != nil {
		t.Fatal(err)
	}
	if l := f.Fleet.Log; l == nil || l.Bind != "127.0.0.1:7947" || l.MaxVoters != 5 || l.LeaseDurationMS != 2000 || !l.BootstrapAt.IsZero() {
		t.Errorf("got %+v", f.Fleet.Log)
	}
	if f, err = Parse([]byte(withAttributes(` found="2026-12-02T03:04:05+01:00"`))); err != nil || f.Fleet.Log.BootstrapAt.Unix() != 1796177045 {
		t.Errorf("got %+v, error %v", f.Fleet.Log, err)
	}
	for attributes, want := range map[string]string{
		` voters="4"`:     `line 2, log: found voters="4", expected 3 or 5`,
		` voters="7"`:     `line 2, log: found voters="7"`,
		` lease-ms="10"`:  `line 2, log: found lease-ms="10"`,
		` found="always"`: `line 2, log: found found="always", expected an RFC 3339 time such as`,
	} {
		if _, err := Parse([]byte(withAttributes(attributes))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", attributes, err, want)
		}
	}
}
