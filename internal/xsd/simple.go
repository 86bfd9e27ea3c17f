// This file owns the simple types: their compilation, what holds by them, and what they want in words.

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
