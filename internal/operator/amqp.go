package operator

import (
	"crypto/tls"
	"fmt"
	"strconv"

	"thymechute/internal/xsd"
)

// AMQP configures work that is consumed from a message broker.
type AMQP struct {
	Line                  int           `xml:"-"`
	Brokers               []Endpoint    `xml:"broker"` // tried in turn
	Credentials           *Credentials  `xml:"login"`
	TLS                   *TLS          `xml:"tls"` // nil: without TLS
	Queues                []Queue       `xml:"queue"`
	Fields                *FieldMapping `xml:"fields"`
	HeartbeatSeconds      int           `xml:"heartbeat-s,attr"`
	MinCredit             int           `xml:"least-credit,attr"` // unacknowledged messages of each queue
	MaxCredit             int           `xml:"most-credit,attr"`
	MaxBodyBytes          int           `xml:"largest-body,attr"`
	MaxReturns            int           `xml:"returns,attr"` // of one message to its queue, before it is dead-lettered
	ConfirmTimeoutSeconds int           `xml:"confirm-s,attr"`

	Username, Password string      `xml:"-"` // from the credentials' file
	TLSConfig          *tls.Config `xml:"-"` // from the files of TLS; nil: without TLS
}

// Endpoint is the address of a server.
type Endpoint struct {
	Address string `xml:"address,attr"`
}

// Credentials authenticate the program to the broker.
type Credentials struct {
	Line  int    `xml:"-"`
	Vhost string `xml:"vhost,attr"`
	File  string `xml:"file,attr"` // "": the default user
}

// TLS names the PEM files of connections to the broker.
type TLS struct {
	Line            int    `xml:"-"`
	CAFile          string `xml:"ca,attr"`
	CertificateFile string `xml:"certificate,attr"`
	KeyFile         string `xml:"key,attr"`
	ServerName      string `xml:"name,attr"`
}

// Queue is a queue that is consumed.
type Queue struct {
	Line                 int        `xml:"-"`
	Arguments            []Argument `xml:"argument"`
	Name                 string     `xml:"name,attr"`
	ConsumerTag          string     `xml:"tag,attr"`
	DeadLetterExchange   string     `xml:"dead-letter,attr"`
	DeadLetterRoutingKey string     `xml:"dead-letter-key,attr"`
	OnRedelivery         string     `xml:"redelivered,attr"` // dead-letter or run
}

// Argument is an argument of consuming a queue.
type Argument struct {
	Line  int    `xml:"-"`
	Name  string `xml:"name,attr"`
	Type  string `xml:"type,attr"` // boolean, integer or string
	Value string `xml:"value,attr"`
}

// FieldMapping names the message property or header that carries each field of a request.
type FieldMapping struct {
	Class          string `xml:"band,attr"`
	Tenant         string `xml:"customer,attr"`
	IdempotencyKey string `xml:"key,attr"`
	Subject        string `xml:"subject,attr"`
	Priority       string `xml:"rank,attr"`
	Origin         string `xml:"origin,attr"`   // when the message was sent
	CallerTimeout  string `xml:"patience,attr"` // milliseconds
}

// complete checks the constraints that the schema cannot express, fills in missing elements and reads the files.
func (a *AMQP) complete(schema *xsd.Schema) error {
	if a.MinCredit > a.MaxCredit {
		return &xsd.ValidationError{Line: a.Line, Element: "amqp", Found: fmt.Sprintf("least-credit=%d", a.MinCredit),
			Expected: fmt.Sprintf("at most most-credit=%d", a.MaxCredit)}
	}
	if a.Fields == nil {
		defaults, err := defaultFieldMapping(schema)
		if err != nil {
			return err
		}
		a.Fields = defaults
	}
	if a.Credentials == nil {
		a.Credentials = &Credentials{Vhost: "/"}
	}
	if err := a.completeQueues(); err != nil {
		return err
	}
	if err := a.loadCredentials(); err != nil {
		return err
	}
	return a.loadTLS()
}

// defaultFieldMapping is the schema's own defaults, taken from a file with an empty element.
func defaultFieldMapping(schema *xsd.Schema) (*FieldMapping, error) {
	settings, err := decode(schema, []byte(`<thymechute xmlns="urn:thymechute:operator:1"><amqp><broker address="a:1"/>`+
		`<queue name="q" dead-letter="d"/><fields/></amqp></thymechute>`))
	if err != nil {
		return nil, err
	}
	return settings.AMQP.Fields, nil
}

func (a *AMQP) completeQueues() error {
	seen := map[string]bool{}
	for n := range a.Queues {
		q := &a.Queues[n]
		if seen[q.Name] {
			return &xsd.ValidationError{Line: q.Line, Element: "queue", Found: "a second " + q.Name, Expected: "each queue once"}
		}
		seen[q.Name] = true
		if q.DeadLetterRoutingKey == "" {
			q.DeadLetterRoutingKey = q.Name
		}
		for _, argument := range q.Arguments {
			if _, err := argument.TypedValue(); err != nil {
				return err
			}
		}
	}
	return nil
}

// TypedValue is the value as a bool, int64 or string, by its type. Errors: an *xsd.ValidationError.
func (a Argument) TypedValue() (any, error) {
	switch a.Type {
	case "boolean":
		if a.Value != "true" && a.Value != "false" {
			return nil, a.invalidValue("true or false")
		}
		return a.Value == "true", nil
	case "integer":
		value, err := strconv.ParseInt(a.Value, 10, 64)
		if err != nil {
			return nil, a.invalidValue("a whole number")
		}
		return value, nil
	}
	return a.Value, nil
}

func (a Argument) invalidValue(expected string) error {
	return &xsd.ValidationError{Line: a.Line, Element: "argument", Found: "value " + a.Value, Expected: expected}
}
