// This file owns the compilation of a schema.

package xsd

import (
	"slices"
	"strconv"
	"strings"
)

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
