// This file owns the element amqp, but for its files.

package operator

import (
	"crypto/tls"
	"fmt"
	"reflect"
	"strconv"

	"thymechute/internal/xsd"
)

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
