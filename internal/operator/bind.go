package operator

import (
	"reflect"
	"strconv"
	"strings"

	"thymechute/internal/xsd"
)

// lineField is the field that takes the line of an element, if a struct has it.
const lineField = "Line"

// bind copies a node's attributes and child elements into the fields of a struct with the matching tags. The document is valid,
// and a test ensures that the struct has a field for everything in the schema, so that it cannot fail.
func bind(n *xsd.Node, into reflect.Value) {
	if line := into.FieldByName(lineField); line.IsValid() {
		line.SetInt(int64(n.Line))
	}
	for i := range into.NumField() {
		name, isAttribute := fieldTag(into.Type().Field(i))
		if isAttribute {
			if text, found := n.Attributes[name]; found {
				setField(into.Field(i), text)
			}
			continue
		}
		bindChildren(n, name, into.Field(i))
	}
}

// bindChildren copies the child elements of a name into a pointer or slice.
func bindChildren(n *xsd.Node, name string, field reflect.Value) {
	for _, child := range n.Children {
		if child.Name != name {
			continue
		}
		switch field.Kind() {
		case reflect.Pointer:
			field.Set(reflect.New(field.Type().Elem()))
			bind(child, field.Elem())
		case reflect.Slice:
			field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
			bind(child, field.Index(field.Len()-1))
		}
	}
}

// fieldTag is the XML name in a field's tag, and whether it is an attribute's.
func fieldTag(f reflect.StructField) (name string, isAttribute bool) {
	return strings.CutSuffix(f.Tag.Get("xml"), ",attr")
}

// setField sets a field to a text that the schema has accepted for its kind.
func setField(field reflect.Value, text string) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int:
		value, _ := strconv.ParseInt(strings.TrimPrefix(text, "+"), 10, 64)
		field.SetInt(value)
	case reflect.Float64:
		value, _ := strconv.ParseFloat(text, 64)
		field.SetFloat(value)
	case reflect.Bool:
		field.SetBool(text == "true" || text == "1")
	}
}
