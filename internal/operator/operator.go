// Package operator is the one place where the operator's own file (deploy/thymechute.xml) becomes values of the
// program. The schema beside it is the one list of names, types, bounds and defaults; the structures here only give
// them Go names, and a test holds the two against each other in both directions. What no schema can say (one bound
// against another, files that must be readable) is checked here, with the line that it stands on. It must never
// hold a default of its own, log a credential, or touch anything that runs.
package operator

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"thymechute/deploy"
	"thymechute/internal/xsd"
)

const mostLogin = 4096 // bytes of a login file

// File is the whole of it; what is nil is off.
type File struct {
	AMQP  *AMQP  `xml:"amqp"`
	Fleet *Fleet `xml:"fleet"`
}

// Fleet is membership with the other instances (internal/fleet/member).
type Fleet struct {
	Line      int      `xml:"-"`
	Seeds     []Broker `xml:"seed"`
	Bind      string   `xml:"bind,attr"`
	Advertise string   `xml:"advertise,attr"`
	Zone      string   `xml:"zone,attr"`
	Most      int      `xml:"most,attr"`
	ProbeMS   int      `xml:"probe-ms,attr"`
	SyncMS    int      `xml:"sync-ms,attr"`
	Log       *Log     `xml:"log"`
}

// Log is the fleet's agreed log (internal/fleet/log).
type Log struct {
	Line      int    `xml:"-"`
	Bind      string `xml:"bind,attr"`
	Advertise string `xml:"advertise,attr"`
	Voters    int    `xml:"voters,attr"`
	LeaseMS   int    `xml:"lease-ms,attr"`
	Found     string `xml:"found,attr"`

	FoundAt time.Time `xml:"-"` // from Found; zero: this member founds none
}

// AMQP is work taken from a message broker.
type AMQP struct {
	Line        int      `xml:"-"`
	Brokers     []Broker `xml:"broker"`
	Login       *Login   `xml:"login"`
	TLS         *TLS     `xml:"tls"`
	Queues      []Queue  `xml:"queue"`
	Fields      *Fields  `xml:"fields"`
	HeartbeatS  int      `xml:"heartbeat-s,attr"`
	LeastCredit int      `xml:"least-credit,attr"`
	MostCredit  int      `xml:"most-credit,attr"`
	LargestBody int      `xml:"largest-body,attr"` // bytes
	Returns     int      `xml:"returns,attr"`
	ConfirmS    int      `xml:"confirm-s,attr"`

	User, Password string      `xml:"-"` // from the login's file
	Secure         *tls.Config `xml:"-"` // from the files of TLS
}

// Broker is one of those tried in turn.
type Broker struct {
	Address string `xml:"address,attr"`
}

// Login is who the program is to the broker.
type Login struct {
	Line  int    `xml:"-"`
	Vhost string `xml:"vhost,attr"`
	File  string `xml:"file,attr"`
}

// TLS names PEM files.
type TLS struct {
	Line        int    `xml:"-"`
	CA          string `xml:"ca,attr"`
	Certificate string `xml:"certificate,attr"`
	Key         string `xml:"key,attr"`
	Name        string `xml:"name,attr"`
}

// Queue is one that is consumed.
type Queue struct {
	Line          int        `xml:"-"`
	Arguments     []Argument `xml:"argument"`
	Name          string     `xml:"name,attr"`
	Tag           string     `xml:"tag,attr"`
	DeadLetter    string     `xml:"dead-letter,attr"`
	DeadLetterKey string     `xml:"dead-letter-key,attr"`
	Redelivered   string     `xml:"redelivered,attr"`
}

// Argument goes with consuming.
type Argument struct {
	Line  int    `xml:"-"`
	Name  string `xml:"name,attr"`
	Type  string `xml:"type,attr"`
	Value string `xml:"value,attr"`
}

// Fields tell which property or header carries what.
type Fields struct {
	Band     string `xml:"band,attr"`
	Customer string `xml:"customer,attr"`
	Key      string `xml:"key,attr"`
	Subject  string `xml:"subject,attr"`
	Rank     string `xml:"rank,attr"`
	Origin   string `xml:"origin,attr"`
	Patience string `xml:"patience,attr"`
}

// Load reads the file at the path and all that it names. An error is one line: line, element, found, expected.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: found %w, expected a file that can be read", err)
	}
	f, err := Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Read takes the text of the file; every error is a *xsd.Fault.
func Read(text []byte) (*File, error) {
	schema, err := xsd.Parse(deploy.Schema)
	if err != nil {
		return nil, err
	}
	root, err := schema.Read(text)
	if err != nil {
		return nil, err
	}
	f := &File{}
	bind(root, reflect.ValueOf(f).Elem())
	if f.AMQP != nil {
		if err := f.AMQP.check(schema); err != nil {
			return nil, err
		}
	}
	if f.Fleet != nil && f.Fleet.Log != nil {
		if err := f.Fleet.Log.check(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// bind puts a node's attributes and elements into the fields that are tagged with their names. The schema has
// checked everything, and the test of both sides that each has its field: what has none here is a defect.
func bind(n *xsd.Node, into reflect.Value) {
	if line := into.FieldByName("Line"); line.IsValid() {
		line.SetInt(int64(n.Line))
	}
	for i := range into.NumField() {
		name, attr := tag(into.Type().Field(i))
		field := into.Field(i)
		if attr {
			if text, ok := n.Attr[name]; ok {
				put(field, text)
			}
			continue
		}
		for _, k := range n.Nodes {
			if k.Name != name {
				continue
			}
			switch field.Kind() {
			case reflect.Pointer:
				field.Set(reflect.New(field.Type().Elem()))
				bind(k, field.Elem())
			case reflect.Slice:
				field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
				bind(k, field.Index(field.Len()-1))
			}
		}
	}
}

func tag(f reflect.StructField) (name string, attr bool) {
	return strings.CutSuffix(f.Tag.Get("xml"), ",attr")
}

func put(field reflect.Value, text string) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int:
		x, _ := strconv.ParseInt(strings.TrimPrefix(text, "+"), 10, 64)
		field.SetInt(x)
	case reflect.Float64:
		x, _ := strconv.ParseFloat(text, 64)
		field.SetFloat(x)
	case reflect.Bool:
		field.SetBool(text == "true" || text == "1")
	}
}

// check says what no schema can, and reads the files.
func (a *AMQP) check(schema *xsd.Schema) error {
	if a.LeastCredit > a.MostCredit {
		return &xsd.Fault{Line: a.Line, Element: "amqp", Found: fmt.Sprintf("least-credit=%d", a.LeastCredit),
			Want: fmt.Sprintf("at most most-credit=%d", a.MostCredit)}
	}
	if a.Fields == nil { // the schema's own defaults
		root, err := schema.Read([]byte(`<thymechute xmlns="urn:thymechute:operator:1"><amqp><broker address="a:1"/>` +
			`<queue name="q" dead-letter="d"/><fields/></amqp></thymechute>`))
		if err != nil {
			return err
		}
		var f File
		bind(root, reflect.ValueOf(&f).Elem())
		a.Fields = f.AMQP.Fields
	}
	if a.Login == nil {
		a.Login = &Login{Vhost: "/"}
	}
	names := map[string]bool{}
	for i := range a.Queues {
		q := &a.Queues[i]
		if names[q.Name] {
			return &xsd.Fault{Line: q.Line, Element: "queue", Found: "a second " + q.Name, Want: "each queue once"}
		}
		if names[q.Name] = true; q.DeadLetterKey == "" {
			q.DeadLetterKey = q.Name
		}
		for _, g := range q.Arguments {
			if _, err := g.Typed(); err != nil {
				return err
			}
		}
	}
	if err := a.Login.read(a); err != nil {
		return err
	}
	return a.TLS.read(a)
}

// check says what no schema can.
func (l *Log) check() (err error) {
	if l.Voters%2 == 0 {
		return &xsd.Fault{Line: l.Line, Element: "log", Found: fmt.Sprintf("voters=%q", strconv.Itoa(l.Voters)), Want: "3 or 5"}
	}
	if l.Found == "" {
		return nil
	}
	if l.FoundAt, err = time.Parse(time.RFC3339, l.Found); err != nil {
		return &xsd.Fault{Line: l.Line, Element: "log", Found: fmt.Sprintf("found=%q", l.Found), Want: "a time as 2026-12-02T03:04:05Z"}
	}
	return nil
}

// Typed is the value as its type says.
func (g Argument) Typed() (any, error) {
	switch g.Type {
	case "boolean":
		if g.Value != "true" && g.Value != "false" {
			return nil, &xsd.Fault{Line: g.Line, Element: "argument", Found: "value " + g.Value, Want: "true or false"}
		}
		return g.Value == "true", nil
	case "integer":
		x, err := strconv.ParseInt(g.Value, 10, 64)
		if err != nil {
			return nil, &xsd.Fault{Line: g.Line, Element: "argument", Found: "value " + g.Value, Want: "a whole number"}
		}
		return x, nil
	}
	return g.Value, nil
}

// read takes the credentials. No error names what stands in the file.
func (l *Login) read(a *AMQP) error {
	if a.User, a.Password = "guest", "guest"; l.File == "" {
		return nil
	}
	text, err := os.ReadFile(l.File)
	if err != nil {
		return &xsd.Fault{Line: l.Line, Element: "login", Found: err.Error(), Want: "a file that can be read"}
	}
	user, password, ok := strings.Cut(strings.TrimRight(string(text), "\r\n"), ":")
	if !ok || user == "" || len(text) > mostLogin || strings.ContainsAny(user+password, "\r\n\x00") {
		return &xsd.Fault{Line: l.Line, Element: "login", Found: "something else in " + l.File, Want: "one line, user:password"}
	}
	a.User, a.Password = user, password
	return nil
}

func (t *TLS) read(a *AMQP) error {
	if t == nil {
		return nil
	}
	fault := func(found, want string) error {
		return &xsd.Fault{Line: t.Line, Element: "tls", Found: found, Want: want}
	}
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return fault(err.Error(), "a file that can be read")
	}
	a.Secure = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: t.Name, MinVersion: tls.VersionTLS12}
	if !a.Secure.RootCAs.AppendCertsFromPEM(text) {
		return fault("no certificate in "+t.CA, "PEM")
	}
	if (t.Certificate == "") != (t.Key == "") {
		return fault("only one of certificate and key", "both or none")
	}
	if t.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return fault(err.Error(), "a certificate and its key")
		}
		a.Secure.Certificates = []tls.Certificate{pair}
	}
	return nil
}
