// This file owns how nodes become fields.

package operator

import (
	"reflect"
	"strconv"
	"strings"

	"thymechute/internal/xsd"
)

// bind puts a node's attributes and elements into the fields that are tagged with their names. The schema has
// checked everything, and the test of both sides that each has its field: what has none here is a defect.
func bind(n *xsd.Node, into reflect.Value) {
	if line := into.FieldByName("Line"); line.IsValid() {
		line.SetInt(int64(n.Line))
	}
	for i := range into.NumField() {
		name, attr := tag(into.Type().Field(i))
		field := into.Field(i)
		if attr {
			if text, ok := n.Attr[name]; ok {
				put(field, text)
			}
			continue
		}
		for _, k := range n.Nodes {
			if k.Name != name {
				continue
			}
			switch field.Kind() {
			case reflect.Pointer:
				field.Set(reflect.New(field.Type().Elem()))
				bind(k, field.Elem())
			case reflect.Slice:
				field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
				bind(k, field.Index(field.Len()-1))
			}
		}
	}
}

func tag(f reflect.StructField) (name string, attr bool) {
	return strings.CutSuffix(f.Tag.Get("xml"), ",attr")
}

func put(field reflect.Value, text string) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int:
		x, _ := strconv.ParseInt(strings.TrimPrefix(text, "+"), 10, 64)
		field.SetInt(x)
	case reflect.Float64:
		x, _ := strconv.ParseFloat(text, 64)
		field.SetFloat(x)
	case reflect.Bool:
		field.SetBool(text == "true" || text == "1")
	}
}
