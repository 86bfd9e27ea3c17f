package xsd

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Node is an element of a document. After validation its attributes include the schema's defaults.
type Node struct {
	Name       string
	Line       int
	Attributes map[string]string
	Children   []*Node
	namespace  string
}

// documentParser builds the tree of a document from its tokens.
type documentParser struct {
	decoder *xml.Decoder
	root    *Node
	open    []*Node // the current element and its ancestors, from the root
	count   int     // of elements so far
}

// parseDocument parses a document, which must be well-formed and within the limits of the package. The error is a
// *ValidationError.
func parseDocument(text []byte) (*Node, error) {
	if len(text) > maxDocumentBytes {
		return nil, &ValidationError{1, "document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", maxDocumentBytes)}
	}
	p := &documentParser{decoder: xml.NewDecoder(bytes.NewReader(text))}
	p.decoder.CharsetReader = func(string, io.Reader) (io.Reader, error) {
		return nil, errors.New("encodings other than UTF-8 are not supported")
	}
	for {
		token, err := p.decoder.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, p.syntaxError(err)
		}
		if err := p.add(token); err != nil {
			return nil, err
		}
	}
	if p.root == nil {
		return nil, &ValidationError{1, "document", "nothing", "an element"}
	}
	return p.root, nil
}

func (p *documentParser) line() int {
	line, _ := p.decoder.InputPos()
	return line
}

// currentElement returns the name of the current element for an error message.
func (p *documentParser) currentElement() string {
	if len(p.open) == 0 {
		return "document"
	}
	return p.open[len(p.open)-1].Name
}

func (p *documentParser) syntaxError(err error) error {
	var syntax *xml.SyntaxError
	if errors.As(err, &syntax) {
		return &ValidationError{syntax.Line, p.currentElement(), syntax.Msg, "well-formed XML"}
	}
	return &ValidationError{p.line(), p.currentElement(), err.Error(), "well-formed XML"}
}

func (p *documentParser) add(token xml.Token) error {
	switch token := token.(type) {
	case xml.StartElement:
		return p.startElement(token)
	case xml.EndElement:
		p.open = p.open[:len(p.open)-1]
	case xml.CharData:
		if text := strings.TrimSpace(string(token)); text != "" {
			return &ValidationError{p.line(), p.currentElement(), fmt.Sprintf("text %.40q", text), "only elements"}
		}
	case xml.Directive:
		return &ValidationError{p.line(), p.currentElement(), "a declaration <!...>", "none"}
	}
	return nil
}

func (p *documentParser) startElement(token xml.StartElement) error {
	p.count++
	isSecondRoot := p.root != nil && len(p.open) == 0
	if p.count > maxElements || len(p.open) >= maxDepth || isSecondRoot {
		return &ValidationError{p.line(), p.currentElement(), "one element too many: " + token.Name.Local,
			fmt.Sprintf("one root element, at most %d levels and %d elements", maxDepth, maxElements)}
	}
	n := &Node{Name: token.Name.Local, Line: p.line(), Attributes: map[string]string{}, namespace: token.Name.Space}
	for _, a := range token.Attr {
		if isNamespaceDeclaration(a) {
			continue
		}
		if _, isDuplicate := n.Attributes[a.Name.Local]; isDuplicate || a.Name.Space != "" {
			return &ValidationError{n.Line, n.Name, "attribute " + a.Name.Local, "each attribute once, and none with a namespace"}
		}
		n.Attributes[a.Name.Local] = a.Value
	}
	if len(p.open) > 0 {
		parent := p.open[len(p.open)-1]
		parent.Children = append(parent.Children, n)
	} else {
		p.root = n
	}
	p.open = append(p.open, n)
	return nil
}

func isNamespaceDeclaration(a xml.Attr) bool {
	return a.Name.Space == "xmlns" || a.Name.Local == "xmlns" && a.Name.Space == ""
}
