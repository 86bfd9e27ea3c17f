package redelivery

import (
	"container/list"
	"crypto/sha256"
)

// Identity identifies a message across deliveries. Messages with equal identities must be interchangeable for their sender.
type Identity [sha256.Size]byte

// Action is what to do with a delivered message.
type Action int

const (
	// Process means that nothing is known of an ending: the message is processed like any other.
	Process Action = iota
	// Settle means that the message has ended, or that another message stands for it: it is settled without an answer.
	Settle
	// Republish means that the message has ended, but that what was published for it may be lost: it is published again, and the
	// message is settled after that.
	Republish
)

// Ending says how a message ended.
type Ending[P any] struct {
	Copy      string // identifies the copy that was returned to the queue; empty if the final answer was published
	Confirmed bool   // the broker has taken what was published
	Answer    P      // what Republish publishes; used only if Copy is empty and Confirmed is false
	Size      int    // bytes of memory that Answer refers to
}

// entry is a remembered ending.
type entry[P any] struct {
	identity   Identity
	ending     Ending[P]
	superseded bool // the original is processed instead of its copy
}

// Table remembers endings, at most maxEntries and with at most maxBytes of answers. It must be used from one goroutine at a time.
type Table[P any] struct {
	maxEntries int
	maxBytes   int
	bytes      int                        // sum of the sizes of the answers
	oldest     *list.List                 // of *entry[P], in the order in which they were recorded
	originals  map[Identity]*list.Element // the latest ending of each message
	copies     map[string]*list.Element   // endings by the copy that stands for the message
}

// NewTable returns an empty table with these bounds.
func NewTable[P any](maxEntries, maxBytes int) *Table[P] {
	return &Table[P]{
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
		oldest:     list.New(),
		originals:  map[Identity]*list.Element{},
		copies:     map[string]*list.Element{},
	}
}

// Record remembers how a message ended, in place of an earlier ending of the same message. A copy of the earlier ending that was
// superseded remains so, and one that was confirmed or has arrived remains confirmed.
func (t *Table[P]) Record(identity Identity, ending Ending[P]) {
	if known, ok := t.originals[identity]; ok && ending.Copy != "" {
		earlier := known.Value.(*entry[P]).ending
		ending.Confirmed = ending.Confirmed || earlier.Copy == ending.Copy && earlier.Confirmed
	}
	t.Forget(identity)
	if ending.Confirmed || ending.Copy != "" {
		var none P
		ending.Answer = none
		ending.Size = 0
	}
	element := t.oldest.PushBack(&entry[P]{identity: identity, ending: ending})
	t.originals[identity] = element
	if ending.Copy != "" {
		t.copies[ending.Copy] = element
	}
	t.bytes += ending.Size
	for t.oldest.Len() > t.maxEntries || t.bytes > t.maxBytes {
		t.remove(t.oldest.Front())
	}
}

// Forget drops the ending of a message, because a new message with its identity has arrived.
func (t *Table[P]) Forget(identity Identity) {
	element, ok := t.originals[identity]
	if !ok {
		return
	}
	delete(t.originals, identity)
	if !element.Value.(*entry[P]).superseded {
		t.remove(element)
	}
}

// Redelivered decides about a message that the broker has marked as redelivered, and returns the answer to publish again for
// Republish. If it is unknown whether the broker has taken the message's copy, the message is processed, and the copy is settled
// when it arrives.
func (t *Table[P]) Redelivered(identity Identity) (action Action, answer P) {
	element, ok := t.originals[identity]
	if !ok {
		return Process, answer
	}
	known := element.Value.(*entry[P])
	switch {
	case known.ending.Confirmed:
		return Settle, answer
	case known.ending.Copy == "":
		return Republish, known.ending.Answer
	}
	known.superseded = true
	return Process, answer
}

// CopyArrived decides about a copy that was returned to the queue. A copy that arrives before its original was redelivered
// proves that the broker has taken it; the original is then settled when it arrives.
func (t *Table[P]) CopyArrived(id string) Action {
	element, ok := t.copies[id]
	if !ok {
		return Process
	}
	known := element.Value.(*entry[P])
	if known.superseded {
		return Settle
	}
	known.ending.Confirmed = true
	return Process
}

// Len returns the number of remembered endings.
func (t *Table[P]) Len() int { return t.oldest.Len() }

func (t *Table[P]) remove(element *list.Element) {
	dropped := t.oldest.Remove(element).(*entry[P])
	t.bytes -= dropped.ending.Size
	if t.originals[dropped.identity] == element {
		delete(t.originals, dropped.identity)
	}
	if t.copies[dropped.ending.Copy] == element {
		delete(t.copies, dropped.ending.Copy)
	}
}
