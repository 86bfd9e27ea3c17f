package xsd

import (
	"fmt"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Kind is a built-in type of XML Schema that a simple type can restrict.
type Kind string

// The supported kinds.
const (
	String  Kind = "string"
	Boolean Kind = "boolean"
	Integer Kind = "integer"
	Decimal Kind = "decimal"
)

const (
	unbounded       = -1 // as a minimum or maximum length: none
	maxNumberLength = 30 // in characters, of a number in a document
)

// simpleType restricts a kind by facets.
type simpleType struct {
	kind                       Kind
	pattern                    *regexp.Regexp // nil: none
	patternText                string
	enumeration                []string
	minInclusive, maxInclusive *big.Rat // nil: no bound
	minLength, maxLength       int      // in characters
}

func builtinKind(name string) (Kind, bool) {
	kind := Kind(strings.TrimPrefix(name, "xs:"))
	return kind, strings.HasPrefix(name, "xs:") && slices.Contains([]Kind{String, Boolean, Integer, Decimal}, kind)
}

func (c *compiler) simpleType(n *Node, name string) (*simpleType, error) {
	if compiled := c.simpleTypes[name]; compiled != nil {
		return compiled, nil
	}
	if err := rejectOtherAttributes(n, "name"); err != nil {
		return nil, err
	}
	if len(n.Children) != 1 || n.Children[0].Name != "restriction" {
		return nil, unsupportedError(n)
	}
	restriction := n.Children[0]
	kind, ok := builtinKind(restriction.Attributes["base"])
	if !ok || rejectOtherAttributes(restriction, "base") != nil {
		return nil, unsupportedError(restriction)
	}
	compiled := &simpleType{kind: kind, minLength: unbounded, maxLength: unbounded}
	for _, facet := range restriction.Children {
		if err := rejectOtherAttributes(facet, "value"); err != nil {
			return nil, err
		}
		if !compiled.addFacet(facet.Name, facet.Attributes["value"]) {
			return nil, unsupportedError(facet)
		}
	}
	c.simpleTypes[name] = compiled
	return compiled, nil
}

// addFacet adds a facet, and reports whether the facet is supported and its value is valid.
func (s *simpleType) addFacet(name, value string) bool {
	number, isNumber := new(big.Rat).SetString(value)
	length, lengthErr := strconv.Atoi(value)
	switch name {
	case "enumeration":
		s.enumeration = append(s.enumeration, value)
		return true
	case "pattern":
		pattern, err := regexp.Compile("^(?:" + value + ")$")
		isFirst := s.pattern == nil
		s.pattern, s.patternText = pattern, value
		return err == nil && isFirst
	case "minInclusive":
		s.minInclusive = number
		return isNumber && s.kind != String
	case "maxInclusive":
		s.maxInclusive = number
		return isNumber && s.kind != String
	case "minLength":
		s.minLength = length
		return lengthErr == nil
	case "maxLength":
		s.maxLength = length
		return lengthErr == nil
	}
	return false
}

// accepts reports whether a text is a valid value of the type.
func (s *simpleType) accepts(text string) bool {
	length := utf8.RuneCountInString(text)
	switch {
	case s.enumeration != nil && !slices.Contains(s.enumeration, text),
		s.pattern != nil && !s.pattern.MatchString(text),
		s.minLength >= 0 && length < s.minLength,
		s.maxLength >= 0 && length > s.maxLength:
		return false
	}
	switch s.kind {
	case Boolean:
		return text == "true" || text == "false" || text == "1" || text == "0"
	case Integer, Decimal:
		return length <= maxNumberLength && s.acceptsNumber(text)
	}
	return true
}

func (s *simpleType) acceptsNumber(text string) bool {
	if strings.ContainsAny(text, "eE/_xXpPbBoO") { // big.Rat accepts more than the lexical space of XML Schema
		return false
	}
	if s.kind == Integer && strings.Contains(text, ".") {
		return false
	}
	number, ok := new(big.Rat).SetString(text)
	if !ok {
		return false
	}
	return (s.minInclusive == nil || number.Cmp(s.minInclusive) >= 0) && (s.maxInclusive == nil || number.Cmp(s.maxInclusive) <= 0)
}

// expectation describes the valid values for an error message.
func (s *simpleType) expectation() string {
	if s.enumeration != nil {
		return "one of " + strings.Join(s.enumeration, ", ")
	}
	text := map[Kind]string{String: "a string", Boolean: "true or false", Integer: "a whole number", Decimal: "a number"}[s.kind]
	if s.minInclusive != nil {
		text += " from " + s.minInclusive.RatString()
	}
	if s.maxInclusive != nil {
		text += " to " + s.maxInclusive.RatString()
	}
	if s.minLength >= 0 && s.maxLength >= 0 {
		text += fmt.Sprintf(" of %d to %d characters", s.minLength, s.maxLength)
	} else if s.maxLength >= 0 {
		text += fmt.Sprintf(" of at most %d characters", s.maxLength)
	}
	if s.pattern != nil {
		text += " matching " + s.patternText
	}
	return text
}
