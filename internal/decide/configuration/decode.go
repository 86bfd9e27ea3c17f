package configuration

import (
	"encoding/binary"
)

// DecodeMessage decodes a message from a peer. It allocates no more than a small multiple of the input's size. An error is a
// *RejectionError; the message is rejected as a whole.
func DecodeMessage(b []byte) (Message, error) {
	d, kind, err := newDecoder(b)
	if err != nil {
		return nil, err
	}
	m, err := d.message(kind)
	if err != nil {
		return nil, err
	}
	return m, d.finish()
}

// DecodeCommand decodes the command in a log entry. An error is a *RejectionError.
func DecodeCommand(b []byte) (Command, error) {
	d, kind, err := newDecoder(b)
	if err != nil {
		return Command{}, err
	}
	if kind != kindCommand {
		return Command{}, reject(ReasonUnknownType, "log entry of kind %d, expected a command of kind %d", kind, kindCommand)
	}
	c := Command{Base: d.version(), Version: d.version()}
	c.Changes = d.changes(c.Version)
	return c, d.finish()
}

// newDecoder verifies the size and checksum of an encoded message or log entry, and returns a decoder of the fields after its
// kind, and the kind.
func newDecoder(b []byte) (*decoder, byte, error) {
	if len(b) < 1+checksumSize || len(b) > MaxMessageBytes {
		return nil, 0, reject(ReasonLimitExceeded, "message or log entry of %d bytes, expected %d to %d", len(b), 1+checksumSize, MaxMessageBytes)
	}
	body := b[:len(b)-checksumSize]
	if found, expected := checksum(body), binary.LittleEndian.Uint32(b[len(body):]); found != expected {
		return nil, 0, reject(ReasonDigestMismatch, "message or log entry of %d bytes with checksum %08x, expected %08x",
			len(b), found, expected)
	}
	return &decoder{rest: body[1:]}, body[0], nil
}

func (d *decoder) message(kind byte) (Message, error) {
	switch kind {
	case kindPoll:
		return Poll{Version: d.version(), Root: d.uint64()}, nil
	case kindPollReply:
		return PollReply{Position: d.position(), NeedsRepair: d.byte() != 0}, nil
	case kindDelta:
		return d.delta(), nil
	case kindDigestRequest:
		return d.digestRequest(), nil
	case kindDigestReply:
		return d.digestReply(), nil
	case kindRepairRequest:
		return d.repairRequest(), nil
	case kindRepairReply:
		return d.repairReply(), nil
	case kindReferral:
		return Referral{}, nil
	}
	return nil, reject(ReasonUnknownType, "message of kind %d, expected %d to %d", kind, kindPoll, kindReferral)
}

func (d *decoder) delta() Delta {
	m := Delta{Position: d.position(), From: d.version()}
	m.Changes = d.changes(m.Version)
	return m
}

func (d *decoder) digestRequest() (m DigestRequest) {
	for n := range m.Groups {
		m.Groups[n] = d.uint32()
	}
	return m
}

func (d *decoder) digestReply() DigestReply {
	m := DigestReply{Position: d.position()}
	m.Groups = make([]GroupDigests, d.count(groupDigestsBytes))
	for n := range m.Groups {
		g := &m.Groups[n]
		g.Group = d.byte()
		if g.Group >= digestFanOut || n > 0 && g.Group <= m.Groups[n-1].Group {
			d.fail(reject(ReasonMalformed, "digest reply with group %d, expected groups below %d in ascending order", g.Group, digestFanOut))
			return m
		}
		for k := range g.Buckets {
			g.Buckets[k] = d.uint32()
		}
	}
	return m
}

func (d *decoder) repairRequest() RepairRequest {
	m := RepairRequest{Buckets: make([]BucketDigests, min(d.count(minBucketDigestsBytes), bucketCount))}
	previous := -1
	for n := range m.Buckets {
		m.Buckets[n] = BucketDigests{Bucket: d.bucketIndex(previous), Digests: d.shortDigests()}
		previous = int(m.Buckets[n].Bucket)
		if d.err != nil {
			break
		}
	}
	return m
}

func (d *decoder) repairReply() RepairReply {
	m := RepairReply{Position: d.position()}
	m.Buckets = make([]BucketRepair, min(d.count(minBucketRepairBytes), bucketCount))
	previous := -1
	for n := range m.Buckets {
		repair := d.bucketRepair(previous, m.Version)
		if d.err != nil {
			return m
		}
		previous = int(repair.Bucket)
		m.Buckets[n] = repair
	}
	return m
}

func (d *decoder) bucketRepair(previous int, messageVersion Version) BucketRepair {
	repair := BucketRepair{Bucket: d.bucketIndex(previous), Remove: d.shortDigests()}
	repair.Add = make([]*Resource, 0, d.count(minChangeBytes))
	for range cap(repair.Add) {
		c := d.change(messageVersion)
		if d.err == nil && (c.Removed || bucketIndex(c.Resource) != int(repair.Bucket)) {
			d.fail(reject(ReasonMalformed, "repair of bucket %d adds a resource that is marked as removed or belongs to another bucket",
				repair.Bucket))
		}
		if d.err != nil {
			return repair
		}
		repair.Add = append(repair.Add, c.Resource)
	}
	return repair
}
