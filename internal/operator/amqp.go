package operator

import (
	"crypto/tls"
	"fmt"
	"strconv"

	"thymechute/internal/xsd"
)

// AMQP configures the consumption of requests from a message broker.
type AMQP struct {
	Line                  int           `xml:"-"`
	Brokers               []Endpoint    `xml:"broker"` // alternatives, tried in turn
	Credentials           *Credentials  `xml:"login"`
	TLS                   *TLS          `xml:"tls"` // nil: no TLS
	Queues                []Queue       `xml:"queue"`
	Fields                *FieldMapping `xml:"fields"`
	HeartbeatSeconds      int           `xml:"heartbeat-s,attr"`
	MinCredit             int           `xml:"least-credit,attr"` // MinCredit and MaxCredit bound the prefetch count of each queue
	MaxCredit             int           `xml:"most-credit,attr"`
	MaxBodyBytes          int           `xml:"largest-body,attr"`
	MaxReturns            int           `xml:"returns,attr"` // returns of one message to its queue before it is dead-lettered
	ConfirmTimeoutSeconds int           `xml:"confirm-s,attr"`

	Username, Password string      `xml:"-"` // from Credentials.File
	TLSConfig          *tls.Config `xml:"-"` // from the files of TLS; nil: no TLS
}

// Endpoint is the address of a broker or a seed member.
type Endpoint struct {
	Address string `xml:"address,attr"`
}

// Credentials names the virtual host and the file with the user name and password for the broker.
type Credentials struct {
	Line  int    `xml:"-"`
	Vhost string `xml:"vhost,attr"`
	File  string `xml:"file,attr"` // "": the default user name and password
}

// TLS configures TLS for connections to the broker. The files are PEM files.
type TLS struct {
	Line            int    `xml:"-"`
	CAFile          string `xml:"ca,attr"`
	CertificateFile string `xml:"certificate,attr"`
	KeyFile         string `xml:"key,attr"`
	ServerName      string `xml:"name,attr"`
}

// Queue configures a queue that is consumed.
type Queue struct {
	Line                 int        `xml:"-"`
	Arguments            []Argument `xml:"argument"`
	Name                 string     `xml:"name,attr"`
	ConsumerTag          string     `xml:"tag,attr"`
	DeadLetterExchange   string     `xml:"dead-letter,attr"`
	DeadLetterRoutingKey string     `xml:"dead-letter-key,attr"`
	OnRedelivery         string     `xml:"redelivered,attr"` // "dead-letter" or "run"
}

// Argument is an argument of basic.consume.
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
	Origin         string `xml:"origin,attr"`   // time at which the message was sent
	CallerTimeout  string `xml:"patience,attr"` // milliseconds
}

// validateAndLoad validates what the schema cannot express, sets the defaults of missing elements, and reads the named files.
func (a *AMQP) validateAndLoad(schema *xsd.Schema) error {
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
	if err := a.validateAndDefaultQueues(); err != nil {
		return err
	}
	if err := a.loadCredentials(); err != nil {
		return err
	}
	return a.loadTLS()
}

// defaultFieldMapping returns the defaults that the schema declares, by decoding a document with an empty element fields.
func defaultFieldMapping(schema *xsd.Schema) (*FieldMapping, error) {
	settings, err := decode(schema, []byte(`<thymechute xmlns="urn:thymechute:operator:1"><amqp><broker address="a:1"/>`+
		`<queue name="q" dead-letter="d"/><fields/></amqp></thymechute>`))
	if err != nil {
		return nil, err
	}
	return settings.AMQP.Fields, nil
}

// validateAndDefaultQueues rejects duplicate queues and invalid arguments. A queue's name is its default dead-letter routing key.
func (a *AMQP) validateAndDefaultQueues() error {
	seen := map[string]bool{}
	for n := range a.Queues {
		q := &a.Queues[n]
		if seen[q.Name] {
			return &xsd.ValidationError{Line: q.Line, Element: "queue", Found: "a second queue " + q.Name, Expected: "each queue once"}
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

// TypedValue returns the value as a bool, int64 or string, depending on Type. The error is an *xsd.ValidationError.
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
