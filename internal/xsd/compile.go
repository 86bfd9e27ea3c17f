package xsd

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// compiler compiles the named types of a schema, each only once.
type compiler struct {
	definitions  map[string]*Node // of types, by name; the other maps hold those compiled so far
	complexTypes map[string]*complexType
	simpleTypes  map[string]*simpleType
}

// Compile compiles a schema. The error is a *ValidationError for the first thing that is invalid or not supported.
func Compile(text []byte) (*Schema, error) {
	root, err := parseDocument(text)
	if err != nil {
		return nil, err
	}
	if root.namespace != schemaNamespace || root.Name != "schema" {
		return nil, &ValidationError{root.Line, root.Name, "another root element", "xs:schema"}
	}
	c := compiler{definitions: map[string]*Node{}, complexTypes: map[string]*complexType{}, simpleTypes: map[string]*simpleType{}}
	rootElement, err := c.collectDefinitions(root)
	if err != nil {
		return nil, err
	}
	rootType, err := c.elementType(rootElement)
	if err != nil {
		return nil, err
	}
	if err := c.compileAll(); err != nil {
		return nil, err
	}
	return &Schema{root.Attributes["targetNamespace"], rootElement.Attributes["name"], rootType}, nil
}

// collectDefinitions stores the definitions of types by name, and returns the declaration of the root element.
func (c *compiler) collectDefinitions(schema *Node) (rootElement *Node, err error) {
	for _, n := range schema.Children {
		name := n.Attributes["name"]
		switch n.Name {
		case "element":
			if rootElement != nil {
				return nil, &ValidationError{n.Line, "element", "a second root element", "only one"}
			}
			rootElement = n
		case "complexType", "simpleType":
			if c.definitions[name] != nil {
				return nil, &ValidationError{n.Line, n.Name, "a second definition of " + name, "only one"}
			}
			c.definitions[name] = n
		default:
			return nil, unsupportedError(n)
		}
	}
	if rootElement == nil {
		return nil, &ValidationError{schema.Line, "schema", "no element", "the declaration of the root element"}
	}
	return rootElement, nil
}

// compileAll also compiles the definitions that nothing refers to, so that unsupported constructs in them are rejected.
func (c *compiler) compileAll() (err error) {
	for name, n := range c.definitions {
		if n.Name == "simpleType" {
			_, err = c.simpleType(n, name)
		} else {
			_, err = c.complexType(n, name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func unsupportedError(n *Node) error {
	return &ValidationError{n.Line, n.Name, "an unsupported construct", "the subset of XML Schema in the documentation of package xsd"}
}

// rejectOtherAttributes returns an error if an element of the schema has attributes other than the named ones, which would
// be ignored otherwise.
func rejectOtherAttributes(n *Node, names ...string) error {
	for a := range n.Attributes {
		if !slices.Contains(names, a) {
			return &ValidationError{n.Line, n.Name, "attribute " + a, "only " + strings.Join(names, ", ")}
		}
	}
	return nil
}

// elementType returns the compiled type of a declared element.
func (c *compiler) elementType(n *Node) (*complexType, error) {
	if err := rejectOtherAttributes(n, "name", "type", "minOccurs", "maxOccurs"); err != nil {
		return nil, err
	}
	typeName := n.Attributes["type"]
	definition := c.definitions[typeName]
	if definition == nil || definition.Name != "complexType" || len(n.Children) > 0 {
		return nil, &ValidationError{n.Line, n.Name, "type " + typeName, "the name of a complexType in this schema"}
	}
	return c.complexType(definition, typeName)
}

func (c *compiler) complexType(n *Node, name string) (*complexType, error) {
	if compiled := c.complexTypes[name]; compiled != nil {
		return compiled, nil
	}
	compiled := &complexType{}
	c.complexTypes[name] = compiled // before its particles are compiled, as they may refer to it
	if err := rejectOtherAttributes(n, "name"); err != nil {
		return nil, err
	}
	for _, child := range n.Children {
		switch child.Name {
		case "sequence", "all":
			if compiled.particles != nil {
				return nil, unsupportedError(child)
			}
			if err := c.compileParticles(child, compiled); err != nil {
				return nil, err
			}
		case "attribute":
			a, err := c.attributeUse(child)
			if err != nil {
				return nil, err
			}
			compiled.attributes = append(compiled.attributes, a)
		default:
			return nil, unsupportedError(child)
		}
	}
	return compiled, nil
}

// compileParticles compiles the elements in a sequence or all group.
func (c *compiler) compileParticles(group *Node, into *complexType) error {
	if rejectOtherAttributes(group) != nil {
		return unsupportedError(group)
	}
	into.isSequence = group.Name == "sequence"
	for _, n := range group.Children {
		p, err := c.particle(n)
		if err != nil {
			return err
		}
		into.particles = append(into.particles, p)
	}
	return nil
}

func (c *compiler) particle(n *Node) (p particle, err error) {
	if n.Name != "element" {
		return p, unsupportedError(n)
	}
	p.name = n.Attributes["name"]
	if p.contentType, err = c.elementType(n); err != nil {
		return p, err
	}
	if p.minOccurs, err = parseOccurs(n, "minOccurs"); err != nil {
		return p, err
	}
	p.maxOccurs, err = parseOccurs(n, "maxOccurs")
	return p, err
}

func parseOccurs(n *Node, attribute string) (int, error) {
	text, found := n.Attributes[attribute]
	if !found {
		return 1, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > maxElements {
		return 0, &ValidationError{n.Line, n.Name, attribute + " " + text, fmt.Sprintf("a number from 0 to %d", maxElements)}
	}
	return count, nil
}

func (c *compiler) attributeUse(n *Node) (a attributeUse, err error) {
	if err := rejectOtherAttributes(n, "name", "type", "use", "default"); err != nil {
		return a, err
	}
	use := n.Attributes["use"]
	if use != "" && use != "required" && use != "optional" || len(n.Children) > 0 {
		return a, unsupportedError(n)
	}
	a.name, a.isRequired = n.Attributes["name"], use == "required"
	if a.valueType, err = c.attributeType(n); err != nil {
		return a, err
	}
	text, hasDefault := n.Attributes["default"]
	if !hasDefault {
		return a, nil
	}
	a.defaultValue = &text
	if a.isRequired || !a.valueType.accepts(text) {
		return a, &ValidationError{n.Line, "attribute " + a.name, "default " + text, a.valueType.expectation()}
	}
	return a, nil
}

// attributeType returns the simple type of a declared attribute: a definition of the schema or a built-in type.
func (c *compiler) attributeType(n *Node) (*simpleType, error) {
	typeName := n.Attributes["type"]
	if definition := c.definitions[typeName]; definition != nil && definition.Name == "simpleType" {
		return c.simpleType(definition, typeName)
	}
	if kind, ok := builtinKind(typeName); ok {
		return &simpleType{kind: kind, minLength: unbounded, maxLength: unbounded}, nil
	}
	return nil, &ValidationError{n.Line, "attribute " + n.Attributes["name"], "type " + typeName,
		"a simpleType in this schema, or xs:string, xs:boolean, xs:integer or xs:decimal"}
}
