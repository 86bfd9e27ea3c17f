package xsd

import (
	"fmt"
	"slices"
	"strings"
)

// Schema is a compiled schema. It is immutable.
type Schema struct {
	namespace, rootName string
	rootType            *complexType
}

// complexType declares the child elements and attributes of an element.
type complexType struct {
	isSequence bool // the children must be in the order of the particles
	particles  []particle
	attributes []attributeUse
}

// particle declares a child element and how often it may occur.
type particle struct {
	name                 string
	contentType          *complexType
	minOccurs, maxOccurs int
}

// attributeUse declares an attribute of an element.
type attributeUse struct {
	name         string
	valueType    *simpleType
	isRequired   bool
	defaultValue *string // nil: none
}

// Parse parses and validates a document, and adds the defaults of missing attributes. The error is a *ValidationError.
func (s *Schema) Parse(text []byte) (*Node, error) {
	root, err := parseDocument(text)
	if err != nil {
		return nil, err
	}
	if root.Name != s.rootName || root.namespace != s.namespace {
		return nil, &ValidationError{root.Line, root.Name, fmt.Sprintf("namespace %.80q", root.namespace),
			fmt.Sprintf("element %s of namespace %s", s.rootName, s.namespace)}
	}
	return root, s.validate(root, s.rootType)
}

func (s *Schema) validate(n *Node, contentType *complexType) error {
	if err := contentType.validateAttributes(n); err != nil {
		return err
	}
	return s.validateChildren(n, contentType)
}

func (c *complexType) validateAttributes(n *Node) error {
	for _, a := range c.attributes {
		text, found := n.Attributes[a.name]
		switch {
		case found && !a.valueType.accepts(text):
			return &ValidationError{n.Line, n.Name, fmt.Sprintf("%s=%.60q", a.name, text), a.valueType.expectation()}
		case !found && a.isRequired:
			return &ValidationError{n.Line, n.Name, "no attribute " + a.name, a.valueType.expectation()}
		case !found && a.defaultValue != nil:
			n.Attributes[a.name] = *a.defaultValue
		}
	}
	for name := range n.Attributes {
		if !slices.ContainsFunc(c.attributes, func(a attributeUse) bool { return a.name == name }) {
			return &ValidationError{n.Line, n.Name, "attribute " + name, "one of: " + c.attributeNames()}
		}
	}
	return nil
}

func (c *complexType) attributeNames() string {
	var names []string
	for _, a := range c.attributes {
		names = append(names, a.name)
	}
	return strings.Join(names, ", ")
}

func (s *Schema) validateChildren(n *Node, contentType *complexType) error {
	occurrences, previous := make([]int, len(contentType.particles)), 0
	for _, child := range n.Children {
		index := slices.IndexFunc(contentType.particles, func(p particle) bool { return p.name == child.Name })
		if index < 0 || child.namespace != s.namespace || contentType.isSequence && index < previous {
			return &ValidationError{child.Line, n.Name, "element " + child.Name, contentType.expectation()}
		}
		previous = index
		p := contentType.particles[index]
		if occurrences[index]++; occurrences[index] > p.maxOccurs {
			return &ValidationError{child.Line, n.Name, fmt.Sprintf("element %s %d times", child.Name, occurrences[index]),
				fmt.Sprintf("at most %d", p.maxOccurs)}
		}
		if err := s.validate(child, p.contentType); err != nil {
			return err
		}
	}
	for index, p := range contentType.particles {
		if occurrences[index] < p.minOccurs {
			return &ValidationError{n.Line, n.Name, fmt.Sprintf("element %s %d times", p.name, occurrences[index]),
				fmt.Sprintf("at least %d", p.minOccurs)}
		}
	}
	return nil
}

// expectation describes the allowed child elements for an error message.
func (c *complexType) expectation() string {
	if len(c.particles) == 0 {
		return "no child element"
	}
	var names []string
	for _, p := range c.particles {
		names = append(names, p.name)
	}
	if c.isSequence {
		return "elements in this order: " + strings.Join(names, ", ")
	}
	return "one of: " + strings.Join(names, ", ")
}

// Declaration is an element or attribute that a document may have.
type Declaration struct {
	Path         string // a/b for an element, a/b@c for an attribute
	IsRepeatable bool   // an element that may occur more than once
	Kind         Kind   // of an attribute; empty for an element
}

// Walk calls visit for every declared element below the root and every declared attribute, down to maxDepth.
func (s *Schema) Walk(visit func(Declaration)) { s.rootType.walk(s.rootName, 0, visit) }

func (c *complexType) walk(path string, depth int, visit func(Declaration)) {
	for _, a := range c.attributes {
		visit(Declaration{Path: path + "@" + a.name, Kind: a.valueType.kind})
	}
	for _, p := range c.particles {
		childPath := path + "/" + p.name
		visit(Declaration{Path: childPath, IsRepeatable: p.maxOccurs > 1})
		if depth < maxDepth {
			p.contentType.walk(childPath, depth+1, visit)
		}
	}
}
