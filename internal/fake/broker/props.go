package broker

import (
	"encoding/binary"
	"maps"
)

// Props are the properties of a message, indexed by the constants below. An absent property is nil.
type Props [14]any

// Indexes of the properties, in the order of the specification. Properties are strings unless noted otherwise.
const (
	ContentType = iota
	ContentEncoding
	Headers      // Table
	DeliveryMode // uint8
	Priority     // uint8
	CorrelationID
	ReplyTo
	Expiration
	MessageID
	Timestamp // uint64, Unix time in seconds
	Type
	UserID
	AppID
	ClusterID
)

// propertySignature lists the types of the properties, in the format of methodsByID.
const propertySignature = "SSTooSSSSqSSSS"

// Text returns the string property at index, or "" when it is absent.
func (p *Props) Text(index int) string {
	text, _ := p[index].(string)
	return text
}

// Header returns the header of that name, or nil when it is absent.
func (p *Props) Header(name string) any {
	headers, _ := p[Headers].(Table)
	return headers[name]
}

// WithHeader returns a copy with the header set.
func (p Props) WithHeader(name string, value any) Props {
	headers := Table{}
	if old, ok := p[Headers].(Table); ok {
		maps.Copy(headers, old)
	}
	headers[name] = value
	p[Headers] = headers
	return p
}

// classBasic is the class ID of basic, the only class whose methods carry content.
const classBasic = 60

// DecodeHeader decodes the payload of a content header of class basic. bodySize is in bytes. It returns ErrSyntax for a malformed
// header.
func DecodeHeader(payload []byte) (bodySize uint64, p Props, err error) {
	r := &decoder{remaining: payload}
	class, weight := r.uint(2), r.uint(2)
	bodySize = r.uint(8)
	flags := r.uint(2)
	if class != classBasic || weight != 0 || flags&3 != 0 { // bit 0 announces a further flags field, bit 1 is not assigned
		return 0, p, ErrSyntax
	}
	for i, kind := range propertySignature {
		if flags>>(15-i)&1 == 1 {
			p[i] = r.arguments(string(kind))[0]
		}
	}
	return bodySize, p, r.finish()
}

// AppendHeader appends the payload of a content header of class basic.
func AppendHeader(out []byte, bodySize int, p Props) []byte {
	out = binary.BigEndian.AppendUint32(out, classBasic<<16)
	out = binary.BigEndian.AppendUint64(out, uint64(bodySize))
	flags, flagsAt := uint16(0), len(out)
	out = append(out, 0, 0)
	for i, kind := range propertySignature {
		if p[i] != nil {
			flags |= 1 << (15 - i)
			out = appendArguments(out, string(kind), p[i:i+1])
		}
	}
	binary.BigEndian.PutUint16(out[flagsAt:], flags)
	return out
}
