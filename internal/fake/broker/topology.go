package broker

import (
	"errors"
	"fmt"
	"slices"
)

// The kinds of exchanges that the broker implements.
const (
	exchangeDirect = "direct"
	exchangeFanout = "fanout"
)

const defaultExchange = "" // routes to the queue named by the routing key

// Queues declared by DeclareReadings.
const (
	readingsQueue   = "readings"
	deadLetterQueue = "dead"
)

// ErrTooManyNames is returned for a declaration when maxNames queues or exchanges exist.
var ErrTooManyNames = errors.New("broker: too many queues or exchanges")

// ErrNotDeclared is returned for a binding whose queue or exchange does not exist, or whose exchange is the default one.
var ErrNotDeclared = errors.New("broker: queue or exchange not declared")

// ErrExchangeKind is returned for an exchange of a kind that the broker does not implement.
var ErrExchangeKind = errors.New("broker: unknown exchange kind")

// exchange routes messages to the queues that are bound to it.
type exchange struct {
	kind     string
	bindings map[string][]string // queue names by binding key; a fanout exchange uses only the key ""
}

// bindingKey returns the key of bindings that a routing key maps to.
func (e *exchange) bindingKey(key string) string {
	if e.kind == exchangeFanout {
		return ""
	}
	return key
}

// DeclareQueue declares a queue unless it exists. The broker implements the arguments x-dead-letter-exchange,
// x-dead-letter-routing-key, x-queue-type, x-delivery-limit and x-single-active-consumer as RabbitMQ defines them, and ignores
// others.
func (b *Broker) DeclareQueue(name string, args Table) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.declareQueue(name, args)
}

func (b *Broker) declareQueue(name string, args Table) error {
	if b.queues[name] != nil {
		return nil
	}
	if len(b.queues) >= maxNames {
		return fmt.Errorf("%w: cannot declare queue %q, the limit is %d", ErrTooManyNames, name, maxNames)
	}
	b.queues[name] = &queue{name: name, args: args}
	b.queueOrder = append(b.queueOrder, b.queues[name])
	return nil
}

// DeclareExchange declares an exchange of kind direct or fanout, unless it exists.
func (b *Broker) DeclareExchange(name, kind string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.declareExchange(name, kind)
}

func (b *Broker) declareExchange(name, kind string) error {
	if kind != exchangeDirect && kind != exchangeFanout {
		return fmt.Errorf("%w: exchange %q has kind %q, expected %s or %s", ErrExchangeKind, name, kind, exchangeDirect, exchangeFanout)
	}
	if len(b.exchanges) >= maxNames {
		return fmt.Errorf("%w: cannot declare exchange %q, the limit is %d", ErrTooManyNames, name, maxNames)
	}
	if b.exchanges[name] == nil {
		b.exchanges[name] = &exchange{kind: kind, bindings: map[string][]string{}}
	}
	return nil
}

// DeclareReadings declares the queue readings with the arguments, and a fanout dead-letter exchange with the queue dead bound to
// it.
func (b *Broker) DeclareReadings(deadLetterExchange string, args Table) error {
	return errors.Join(
		b.DeclareQueue(readingsQueue, args),
		b.DeclareQueue(deadLetterQueue, nil),
		b.DeclareExchange(deadLetterExchange, exchangeFanout),
		b.Bind(deadLetterQueue, deadLetterExchange, ""))
}

// Bind binds a queue to an exchange: messages published to the exchange with the routing key are added to the queue.
func (b *Broker) Bind(queue, exchange, key string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bind(queue, exchange, key)
}

func (b *Broker) bind(queue, exchange, key string) error {
	from := b.exchanges[exchange]
	if b.queues[queue] == nil || exchange == defaultExchange || from == nil {
		return fmt.Errorf("%w: cannot bind queue %q to exchange %q", ErrNotDeclared, queue, exchange)
	}
	key = from.bindingKey(key)
	if !slices.Contains(from.bindings[key], queue) && len(from.bindings) < maxNames {
		from.bindings[key] = append(from.bindings[key], queue)
	}
	return nil
}
