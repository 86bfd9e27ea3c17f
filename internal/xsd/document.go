// This file owns a document as a tree of elements, within the package's bounds, by no schema yet.

package xsd

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Node is an element of a document, with the schema's defaults filled in.
type Node struct {
	Name  string
	Line  int
	Attr  map[string]string
	Nodes []*Node
	space string
}

// read takes any XML document as a tree.
func read(text []byte) (*Node, error) {
	if len(text) > mostBytes {
		return nil, &Fault{1, "document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d", mostBytes)}
	}
	d := xml.NewDecoder(bytes.NewReader(text))
	d.CharsetReader = func(string, io.Reader) (io.Reader, error) { return nil, errors.New("only UTF-8 is read") }
	var open []*Node
	var root *Node
	for count := 0; ; {
		token, err := d.Token()
		line, _ := d.InputPos()
		at := "document"
		if len(open) > 0 {
			at = open[len(open)-1].Name
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			var s *xml.SyntaxError
			if errors.As(err, &s) {
				return nil, &Fault{s.Line, at, s.Msg, "well-formed XML"}
			}
			return nil, &Fault{line, at, err.Error(), "well-formed XML"}
		}
		switch token := token.(type) {
		case xml.StartElement:
			if count++; count > mostNodes || len(open) >= mostDepth || root != nil && len(open) == 0 {
				return nil, &Fault{line, at, "one element more: " + token.Name.Local,
					fmt.Sprintf("one root, at most %d deep and %d in all", mostDepth, mostNodes)}
			}
			n := &Node{Name: token.Name.Local, Line: line, Attr: map[string]string{}, space: token.Name.Space}
			for _, a := range token.Attr {
				if a.Name.Space == "xmlns" || a.Name.Local == "xmlns" && a.Name.Space == "" {
					continue
				}
				if _, twice := n.Attr[a.Name.Local]; twice || a.Name.Space != "" {
					return nil, &Fault{line, n.Name, "attribute " + a.Name.Local, "each once, and none of another name space"}
				}
				n.Attr[a.Name.Local] = a.Value
			}
			if len(open) > 0 {
				up := open[len(open)-1]
				up.Nodes = append(up.Nodes, n)
			} else {
				root = n
			}
			open = append(open, n)
		case xml.EndElement:
			open = open[:len(open)-1]
		case xml.CharData:
			if words := strings.TrimSpace(string(token)); words != "" {
				return nil, &Fault{line, at, fmt.Sprintf("text %.40q", words), "elements only"}
			}
		case xml.Directive:
			return nil, &Fault{line, at, "a declaration <!…>", "none"}
		}
	}
	if root == nil {
		return nil, &Fault{1, "document", "nothing", "an element"}
	}
	return root, nil
}
