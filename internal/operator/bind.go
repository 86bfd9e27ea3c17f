package operator

import (
	"reflect"
	"strconv"
	"strings"

	"thymechute/internal/xsd"
)

// lineField is the name of the optional struct field that receives the line number of the element.
const lineField = "Line"

// bind copies a node's attributes and child elements into the struct fields with the matching tags. It cannot fail, as the
// document has been validated and a test ensures that the structs have a field for everything in the schema.
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

// bindChildren copies the child elements of that name into a field, which is a pointer or a slice.
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

// fieldTag returns the XML name in a field's tag, and whether it names an attribute.
func fieldTag(f reflect.StructField) (name string, isAttribute bool) {
	return strings.CutSuffix(f.Tag.Get("xml"), ",attr")
}

// setField parses a text, which the schema has accepted for the kind of the field, and sets the field.
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
