// Package xsd reads the part of W3C XML Schema 1.0 that the operator's file is written in, and documents by it:
// one root element, named types, sequence and all, attributes with defaults, and simple types by restriction. No
// pure Go validator is served by the registry. A schema that uses anything else is refused whole, so that nothing
// stands in it that isn't checked. It must never fetch anything, expand an entity, or let a document grow past its
// bounds: mostBytes, mostDepth, mostNodes. It keeps no table.
package xsd

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	mostBytes = 1 << 20
	mostDepth = 16
	mostNodes = 10000
	space     = "http://www.w3.org/2001/XMLSchema"
)

// Fault is what is wrong at one line of a document.
type Fault struct {
	Line                 int
	Element, Found, Want string
}

func (f *Fault) Error() string {
	return fmt.Sprintf("line %d, %s: found %s, expected %s", f.Line, f.Element, f.Found, f.Want)
}

// Node is an element of a document, with the schema's defaults filled in.
type Node struct {
	Name  string
	Line  int
	Attr  map[string]string
	Nodes []*Node
	space string
}

// Kind of a simple type, by what it is built on.
type Kind string

// The kinds.
const (
	Text    Kind = "string"
	Flag    Kind = "boolean"
	Whole   Kind = "integer"
	Decimal Kind = "decimal"
)

type simple struct {
	kind          Kind
	pattern       *regexp.Regexp
	written       string // the pattern as it stands
	values        []string
	least, most   *big.Rat // inclusive
	short, length int      // least and most characters; -1: any
}

type attribute struct {
	name     string
	of       *simple
	required bool
	value    *string // the default
}

type part struct {
	name        string
	of          *complex
	least, most int
}

type complex struct {
	ordered bool
	parts   []part
	attrs   []attribute
}

// Schema is a compiled one.
type Schema struct {
	space, root string
	of          *complex
}

// read takes any XML document as a tree.
func read(text []byte) (*Node, error) {
	if len(text) > mostBytes {
		return nil, &Fault{1, "document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d", mostBytes)}
	}
	d := xml.NewDecoder(bytes.NewReader(text))
	d.CharsetReader = func(string, io.Reader) (io.Reader, error) { return nil, errors.New("only UTF-8 is read") }
	var open []*Node
	var root *Node
	for count := 0; ; {
		token, err := d.Token()
		line, _ := d.InputPos()
		at := "document"
		if len(open) > 0 {
			at = open[len(open)-1].Name
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			var s *xml.SyntaxError
			if errors.As(err, &s) {
				return nil, &Fault{s.Line, at, s.Msg, "well-formed XML"}
			}
			return nil, &Fault{line, at, err.Error(), "well-formed XML"}
		}
		switch token := token.(type) {
		case xml.StartElement:
			if count++; count > mostNodes || len(open) >= mostDepth || root != nil && len(open) == 0 {
				return nil, &Fault{line, at, "one element more: " + token.Name.Local,
					fmt.Sprintf("one root, at most %d deep and %d in all", mostDepth, mostNodes)}
			}
			n := &Node{Name: token.Name.Local, Line: line, Attr: map[string]string{}, space: token.Name.Space}
			for _, a := range token.Attr {
				if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" && a.Name.Space == "" {
					continue
				}
				if _, twice := n.Attr[a.Name.Local]; twice || a.Name.Space != "" {
					return nil, &Fault{line, n.Name, "attribute " + a.Name.Local, "each once, and none of another name space"}
				}
				n.Attr[a.Name.Local] = a.Value
			}
			if len(open) > 0 {
				up := open[len(open)-1]
				up.Nodes = append(up.Nodes, n)
			} else {
				root = n
			}
			open = append(open, n)
		case xml.EndElement:
			open = open[:len(open)-1]
		case xml.CharData:
			if words := strings.TrimSpace(string(token)); words != "" {
				return nil, &Fault{line, at, fmt.Sprintf("text %.40q", words), "elements only"}
			}
		case xml.Directive:
			return nil, &Fault{line, at, "a declaration <!…>", "none"}
		}
	}
	if root == nil {
		return nil, &Fault{1, "document", "nothing", "an element"}
	}
	return root, nil
}

// Parse compiles a schema. An error names the line and what is not understood.
func Parse(text []byte) (*Schema, error) {
	root, err := read(text)
	if err != nil {
		return nil, err
	}
	if root.space != space || root.Name != "schema" {
		return nil, &Fault{root.Line, root.Name, "another element", "xs:schema"}
	}
	c := compiler{types: map[string]*Node{}, made: map[string]*complex{}, simples: map[string]*simple{}}
	var top *Node
	for _, n := range root.Nodes {
		switch n.Name {
		case "element":
			if top != nil {
				return nil, &Fault{n.Line, "element", "a second root", "one"}
			}
			top = n
		case "complexType", "simpleType":
			if c.types[n.Attr["name"]] != nil {
				return nil, &Fault{n.Line, n.Name, "a second " + n.Attr["name"], "one"}
			}
			c.types[n.Attr["name"]] = n
		default:
			return nil, unknown(n)
		}
	}
	if top == nil {
		return nil, &Fault{root.Line, "schema", "no element", "a root"}
	}
	of, err := c.complex(top)
	if err != nil {
		return nil, err
	}
	for name, n := range c.types { // what nothing refers to is read too: it must not look as if it held
		if n.Name == "simpleType" {
			_, err = c.simple(n, name)
		} else {
			_, err = c.named(n, name)
		}
		if err != nil {
			return nil, err
		}
	}
	return &Schema{root.Attr["targetNamespace"], top.Attr["name"], of}, nil
}

func unknown(n *Node) error {
	return &Fault{n.Line, n.Name, "a construct that is not read", "the part of XML Schema that package xsd names"}
}

// only refuses attributes of the schema's own elements that would be passed over.
func only(n *Node, names ...string) error {
	for a := range n.Attr {
		if !slices.Contains(names, a) {
			return &Fault{n.Line, n.Name, "attribute " + a, strings.Join(names, ", ")}
		}
	}
	return nil
}

type compiler struct {
	types   map[string]*Node
	made    map[string]*complex
	simples map[string]*simple
}

func (c *compiler) complex(n *Node) (*complex, error) {
	if err := only(n, "name", "type", "minOccurs", "maxOccurs"); err != nil {
		return nil, err
	}
	of := c.types[n.Attr["type"]]
	if of == nil || of.Name != "complexType" || len(n.Nodes) > 0 {
		return nil, &Fault{n.Line, n.Name, "type " + n.Attr["type"], "the name of a complexType here"}
	}
	return c.named(of, n.Attr["type"])
}

func (c *compiler) named(n *Node, name string) (*complex, error) {
	if made := c.made[name]; made != nil {
		return made, nil
	}
	made := &complex{}
	c.made[name] = made
	if err := only(n, "name"); err != nil {
		return nil, err
	}
	for _, k := range n.Nodes {
		switch k.Name {
		case "sequence", "all":
			if err := only(k); err != nil || made.parts != nil {
				return nil, unknown(k)
			}
			made.ordered = k.Name == "sequence"
			for _, e := range k.Nodes {
				if e.Name != "element" {
					return nil, unknown(e)
				}
				of, err := c.complex(e)
				if err != nil {
					return nil, err
				}
				p := part{e.Attr["name"], of, 1, 1}
				if p.least, err = occurs(e, "minOccurs"); err != nil {
					return nil, err
				}
				if p.most, err = occurs(e, "maxOccurs"); err != nil {
					return nil, err
				}
				made.parts = append(made.parts, p)
			}
		case "attribute":
			a, err := c.attribute(k)
			if err != nil {
				return nil, err
			}
			made.attrs = append(made.attrs, a)
		default:
			return nil, unknown(k)
		}
	}
	return made, nil
}

func occurs(n *Node, name string) (int, error) {
	text, ok := n.Attr[name]
	if !ok {
		return 1, nil
	}
	x, err := strconv.Atoi(text)
	if err != nil || x < 0 || x > mostNodes {
		return 0, &Fault{n.Line, n.Name, name + " " + text, "a number: whatever comes more than once has a bound"}
	}
	return x, nil
}

func (c *compiler) attribute(n *Node) (a attribute, err error) {
	if err = only(n, "name", "type", "use", "default"); err != nil {
		return a, err
	}
	a.name, a.required = n.Attr["name"], n.Attr["use"] == "required"
	if use := n.Attr["use"]; use != "" && use != "required" && use != "optional" || len(n.Nodes) > 0 {
		return a, unknown(n)
	}
	if of := c.types[n.Attr["type"]]; of != nil && of.Name == "simpleType" {
		a.of, err = c.simple(of, n.Attr["type"])
	} else if kind, ok := builtin(n.Attr["type"]); ok {
		a.of = &simple{kind: kind, short: -1, length: -1}
	} else {
		err = &Fault{n.Line, "attribute " + a.name, "type " + n.Attr["type"], "a simpleType here, or xs:string, boolean, integer, decimal"}
	}
	if text, ok := n.Attr["default"]; ok && err == nil {
		if a.value = &text; !a.of.holds(text) || a.required {
			err = &Fault{n.Line, "attribute " + a.name, "default " + text, a.of.wants()}
		}
	}
	return a, err
}

func builtin(name string) (Kind, bool) {
	kind := Kind(strings.TrimPrefix(name, "xs:"))
	return kind, strings.HasPrefix(name, "xs:") && slices.Contains([]Kind{Text, Flag, Whole, Decimal}, kind)
}

func (c *compiler) simple(n *Node, name string) (*simple, error) {
	if made := c.simples[name]; made != nil {
		return made, nil
	}
	if err := only(n, "name"); err != nil {
		return nil, err
	}
	if len(n.Nodes) != 1 || n.Nodes[0].Name != "restriction" {
		return nil, unknown(n)
	}
	r := n.Nodes[0]
	s := &simple{short: -1, length: -1}
	var ok bool
	if s.kind, ok = builtin(r.Attr["base"]); !ok || only(r, "base") != nil {
		return nil, unknown(r)
	}
	for _, f := range r.Nodes {
		value := f.Attr["value"]
		if err := only(f, "value"); err != nil {
			return nil, err
		}
		number, isNumber := new(big.Rat).SetString(value)
		count, notCount := strconv.Atoi(value)
		good := false
		switch f.Name {
		case "enumeration":
			s.values, good = append(s.values, value), true
		case "pattern":
			re, err := regexp.Compile("^(?:" + value + ")$")
			s.pattern, s.written, good = re, value, err == nil && s.pattern == nil
		case "minInclusive":
			s.least, good = number, isNumber && s.kind != Text
		case "maxInclusive":
			s.most, good = number, isNumber && s.kind != Text
		case "minLength":
			s.short, good = count, notCount == nil
		case "maxLength":
			s.length, good = count, notCount == nil
		}
		if !good {
			return nil, unknown(f)
		}
	}
	c.simples[name] = s
	return s, nil
}

func (s *simple) holds(text string) bool {
	n := utf8.RuneCountInString(text)
	switch {
	case s.values != nil && !slices.Contains(s.values, text),
		s.pattern != nil && !s.pattern.MatchString(text),
		s.short >= 0 && n < s.short, s.length >= 0 && n > s.length:
		return false
	}
	switch s.kind {
	case Flag:
		return text == "true" || text == "false" || text == "1" || text == "0"
	case Whole, Decimal:
		if n > 30 || strings.ContainsAny(text, "eE/_xXpPbBoO") { // big.Rat reads more than the schema's lexical space
			return false
		}
		x, ok := new(big.Rat).SetString(text)
		return ok && (s.kind == Decimal || !strings.Contains(text, ".")) && (s.least == nil || x.Cmp(s.least) >= 0) &&
			(s.most == nil || x.Cmp(s.most) <= 0)
	}
	return true
}

// wants says what is expected, in words.
func (s *simple) wants() string {
	if s.values != nil {
		return "one of " + strings.Join(s.values, ", ")
	}
	words := map[Kind]string{Text: "a text", Flag: "true or false", Whole: "a whole number", Decimal: "a number"}[s.kind]
	if s.least != nil {
		words += " from " + s.least.RatString()
	}
	if s.most != nil {
		words += " to " + s.most.RatString()
	}
	if s.short >= 0 && s.length >= 0 {
		words += fmt.Sprintf(" of %d to %d characters", s.short, s.length)
	} else if s.length >= 0 {
		words += fmt.Sprintf(" of at most %d characters", s.length)
	}
	if s.pattern != nil {
		words += " like " + s.written
	}
	return words
}

// Read takes a document by the schema. Every error is a *Fault.
func (s *Schema) Read(text []byte) (*Node, error) {
	root, err := read(text)
	if err != nil {
		return nil, err
	}
	if root.Name != s.root || root.space != s.space {
		return nil, &Fault{root.Line, root.Name, fmt.Sprintf("name space %.80q", root.space), fmt.Sprintf("element %s of %s", s.root, s.space)}
	}
	return root, s.check(root, s.of)
}

func (s *Schema) check(n *Node, of *complex) error {
	for _, a := range of.attrs {
		text, ok := n.Attr[a.name]
		switch {
		case ok && !a.of.holds(text):
			return &Fault{n.Line, n.Name, fmt.Sprintf("%s=%.60q", a.name, text), a.of.wants()}
		case !ok && a.required:
			return &Fault{n.Line, n.Name, "no " + a.name, a.of.wants()}
		case !ok && a.value != nil:
			n.Attr[a.name] = *a.value
		}
	}
	for name := range n.Attr {
		if !slices.ContainsFunc(of.attrs, func(a attribute) bool { return a.name == name }) {
			var names []string
			for _, a := range of.attrs {
				names = append(names, a.name)
			}
			return &Fault{n.Line, n.Name, "attribute " + name, "one of: " + strings.Join(names, ", ")}
		}
	}
	seen, at := make([]int, len(of.parts)), 0
	for _, k := range n.Nodes {
		i := slices.IndexFunc(of.parts, func(p part) bool { return p.name == k.Name })
		if i < 0 || k.space != s.space || of.ordered && i < at {
			return &Fault{k.Line, n.Name, "element " + k.Name, of.wants()}
		}
		at = i
		if seen[i]++; seen[i] > of.parts[i].most {
			return &Fault{k.Line, n.Name, fmt.Sprintf("element %s the %dth time", k.Name, seen[i]), fmt.Sprintf("at most %d", of.parts[i].most)}
		}
		if err := s.check(k, of.parts[i].of); err != nil {
			return err
		}
	}
	for i, p := range of.parts {
		if seen[i] < p.least {
			return &Fault{n.Line, n.Name, fmt.Sprintf("element %s %d times", p.name, seen[i]), fmt.Sprintf("at least %d", p.least)}
		}
	}
	return nil
}

func (c *complex) wants() string {
	if len(c.parts) == 0 {
		return "no element"
	}
	var names []string
	for _, p := range c.parts {
		names = append(names, p.name)
	}
	if c.ordered {
		return "in this order: " + strings.Join(names, ", ")
	}
	return "one of: " + strings.Join(names, ", ")
}

// Walk names every element and attribute that a document may have, by its path (a/b, a/b@c). Whether an element may
// come more than once is told by many; an attribute has a kind.
func (s *Schema) Walk(visit func(path string, many bool, kind Kind)) {
	var walk func(at string, of *complex, depth int)
	walk = func(at string, of *complex, depth int) {
		for _, a := range of.attrs {
			visit(at+"@"+a.name, false, a.of.kind)
		}
		for _, p := range of.parts {
			path := at + "/" + p.name
			visit(path, p.most > 1, "")
			if depth < mostDepth {
				walk(path, p.of, depth+1)
			}
		}
	}
	walk(s.root, s.of, 0)
}
