// This file owns documents by a compiled schema.

package xsd

import (
	"fmt"
	"slices"
	"strings"
)

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
