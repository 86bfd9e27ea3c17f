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

const defaultExchange = "" // routes to the queue whose name is the routing key

// The queues of DeclareReadings.
const (
	readingsQueue   = "readings"
	deadLetterQueue = "dead"
)

// ErrTooManyNames is the error of a declaration beyond the bound on names.
var ErrTooManyNames = errors.New("broker: too many names")

// ErrNotDeclared is the error of a binding whose queue or exchange does not exist.
var ErrNotDeclared = errors.New("broker: not declared")

// ErrExchangeKind is the error of an exchange of a kind that the broker does not implement.
var ErrExchangeKind = errors.New("broker: unknown exchange kind")

type exchange struct {
	kind     string
	bindings map[string][]string // queues by binding key; a fanout exchange has the key "" only
}

// bindingKey is the key under which the exchange binds and looks up a routing key.
func (e *exchange) bindingKey(key string) string {
	if e.kind == exchangeFanout {
		return ""
	}
	return key
}

// DeclareQueue declares a queue unless it exists. Of its arguments the broker implements x-dead-letter-exchange,
// x-dead-letter-routing-key, x-queue-type, x-delivery-limit and x-single-active-consumer, as RabbitMQ defines them.
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
		return fmt.Errorf("%w: queue %q, expected at most %d", ErrTooManyNames, name, maxNames)
	}
	b.queues[name] = &queue{name: name, args: args}
	b.queueOrder = append(b.queueOrder, b.queues[name])
	return nil
}

// DeclareExchange declares an exchange of the kind direct or fanout, unless it exists.
func (b *Broker) DeclareExchange(name, kind string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.declareExchange(name, kind)
}

func (b *Broker) declareExchange(name, kind string) error {
	if kind != exchangeDirect && kind != exchangeFanout {
		return fmt.Errorf("%w: exchange %q, found %q, expected %s or %s", ErrExchangeKind, name, kind, exchangeDirect, exchangeFanout)
	}
	if len(b.exchanges) >= maxNames {
		return fmt.Errorf("%w: exchange %q, expected at most %d", ErrTooManyNames, name, maxNames)
	}
	if b.exchanges[name] == nil {
		b.exchanges[name] = &exchange{kind: kind, bindings: map[string][]string{}}
	}
	return nil
}

// DeclareReadings declares the queue readings, and a fanout dead-letter exchange of that name bound to the queue dead.
func (b *Broker) DeclareReadings(deadLetterExchange string, args Table) error {
	return errors.Join(
		b.DeclareQueue(readingsQueue, args),
		b.DeclareQueue(deadLetterQueue, nil),
		b.DeclareExchange(deadLetterExchange, exchangeFanout),
		b.Bind(deadLetterQueue, deadLetterExchange, ""))
}

// Bind routes messages that are published to the exchange with that key to the queue.
func (b *Broker) Bind(queue, exchange, key string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bind(queue, exchange, key)
}

func (b *Broker) bind(queue, exchange, key string) error {
	from := b.exchanges[exchange]
	if b.queues[queue] == nil || exchange == defaultExchange || from == nil {
		return fmt.Errorf("%w: queue %q or exchange %q", ErrNotDeclared, queue, exchange)
	}
	key = from.bindingKey(key)
	if !slices.Contains(from.bindings[key], queue) && len(from.bindings) < maxNames {
		from.bindings[key] = append(from.bindings[key], queue)
	}
	return nil
}
