package xsd

import (
	"strings"
	"testing"
)

const schemaPrefix = `<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema" targetNamespace="u"><xs:element name="r" type="r"/>`

// Unsupported constructs are rejected, not ignored: a document would pass although it violates them.
func TestCompileRejectsUnsupportedSchemas(t *testing.T) {
	for _, text := range []string{
		`<xs:complexType name="r"><xs:choice/></xs:complexType>`,
		`<xs:complexType name="r" mixed="true"/>`,
		`<xs:complexType name="r"><xs:attribute name="a" type="xs:date"/></xs:complexType>`,
		`<xs:complexType name="r"><xs:attribute name="a" type="t" default="9"/></xs:complexType>` +
			`<xs:simpleType name="t"><xs:restriction base="xs:integer"><xs:maxInclusive value="8"/></xs:restriction></xs:simpleType>`,
		`<xs:complexType name="r"/><xs:simpleType name="t"><xs:restriction base="xs:string"><xs:whiteSpace value="collapse"/></xs:restriction></xs:simpleType>`,
		`<xs:complexType name="r"><xs:sequence><xs:element name="e" type="r" maxOccurs="unbounded"/></xs:sequence></xs:complexType>`,
		`<xs:complexType name="r"/><xs:complexType name="r"/>`,
		`<xs:import namespace="x"/>`,
		``,
	} {
		if _, err := Compile([]byte(schemaPrefix + text + `</xs:schema>`)); err == nil {
			t.Errorf("unsupported schema was accepted: %s", text)
		}
	}
}

func FuzzParse(f *testing.F) {
	s, err := Compile([]byte(schemaPrefix + `<xs:complexType name="r"><xs:all><xs:element name="e" type="r" minOccurs="0"/></xs:all>` +
		`<xs:attribute name="n" type="t" default="3"/><xs:attribute name="d" type="xs:decimal"/></xs:complexType>` +
		`<xs:simpleType name="t"><xs:restriction base="xs:integer"><xs:minInclusive value="1"/><xs:maxInclusive value="8"/></xs:restriction></xs:simpleType></xs:schema>`))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`<r xmlns="u" n="8" d="-1.5"><e><e n="1"/></e></r>`))
	f.Add([]byte(`<r xmlns="u" n="9"/>`))
	f.Add([]byte(strings.Repeat(`<r xmlns="u">`, 40)))
	f.Add([]byte(`<r xmlns="u" n="1e999999999" d="1/3"/>`))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := s.Parse(text)
		if err != nil {
			if _, ok := err.(*ValidationError); !ok || strings.Contains(err.Error(), "\n") && !strings.Contains(string(text), "\n") {
				t.Errorf("got %T %v, want a *ValidationError of one line", err, err)
			}
			return
		}
		for ; n != nil; n = n.Children[0] {
			if len(n.Attributes["n"]) == 0 || strings.Trim(n.Attributes["n"], "+0") > "8" {
				t.Errorf("accepted n=%q, which is outside 1 to 8", n.Attributes["n"])
			}
			if len(n.Children) == 0 {
				break
			}
		}
	})
}
