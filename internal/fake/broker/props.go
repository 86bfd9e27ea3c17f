// This file owns the properties of a message.

package broker

import "encoding/binary"

// Props are the properties of a message, by the places below; nil: not there.
type Props [14]any

// The places of the properties, in the order of the specification.
const (
	ContentType     = iota
	ContentEncoding // string, as all that is not said otherwise
	Headers         // Table
	DeliveryMode    // uint8
	Priority        // uint8
	CorrelationID
	ReplyTo
	Expiration
	MessageID
	Timestamp // uint64, seconds
	Type
	UserID
	AppID
	ClusterID
)

const propKinds = "SSTooSSSSqSSSS"

// Text is a property that is a text; none is empty.
func (p *Props) Text(place int) string { s, _ := p[place].(string); return s }

// Header is one of the headers; nil: none.
func (p *Props) Header(name string) any { t, _ := p[Headers].(Table); return t[name] }

// WithHeader is a copy with that header set.
func (p Props) WithHeader(name string, v any) Props {
	t := Table{}
	if old, ok := p[Headers].(Table); ok {
		for k, x := range old {
			t[k] = x
		}
	}
	t[name] = v
	p[Headers] = t
	return p
}

// DecodeHeader reads the payload of a content header of the class basic.
func DecodeHeader(payload []byte) (size uint64, p Props, err error) {
	r := &reader{left: payload}
	class, weight := r.number(2), r.number(2)
	size = r.number(8)
	flags := r.number(2)
	if class != 60 || weight != 0 || flags&3 != 0 { // a further word of flags or an unknown one
		return 0, p, ErrSyntax
	}
	for i, kind := range propKinds {
		if flags>>(15-i)&1 == 1 {
			p[i] = r.values(string(kind))[0]
		}
	}
	return size, p, r.end()
}

// AppendHeader writes it.
func AppendHeader(out []byte, size int, p Props) []byte {
	out = binary.BigEndian.AppendUint32(out, 60<<16)
	out = binary.BigEndian.AppendUint64(out, uint64(size))
	flags, at := uint16(0), len(out)
	out = append(out, 0, 0)
	for i, kind := range propKinds {
		if p[i] != nil {
			flags |= 1 << (15 - i)
			out = appendValues(out, string(kind), p[i:i+1])
		}
	}
	binary.BigEndian.PutUint16(out[at:], flags)
	return out
}
