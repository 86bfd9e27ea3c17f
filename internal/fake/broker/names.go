// This file owns the names at the broker: queues, exchanges, and the ways from one to the other. Tables: mostNames each, for good.

package broker

import (
	"errors"
	"fmt"
	"slices"
)

// Declare makes a queue; its arguments as RabbitMQ names them (x-dead-letter-exchange, x-queue-type,
// x-delivery-limit, x-single-active-consumer).
func (b *Broker) Declare(name string, args Table) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.declare(name, args)
}

func (b *Broker) declare(name string, args Table) error {
	if b.queues[name] == nil {
		if len(b.queues) >= mostNames {
			return fmt.Errorf("over %d queues", mostNames)
		}
		b.queues[name] = &queue{name: name, args: args}
		b.order = append(b.order, b.queues[name])
	}
	return nil
}

// Exchange makes one of the kind direct or fanout, and Bind a way from it to a queue.
func (b *Broker) Exchange(name, kind string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exchange(name, kind)
}

func (b *Broker) exchange(name, kind string) error {
	if len(b.kinds) >= mostNames || kind != "direct" && kind != "fanout" {
		return fmt.Errorf("exchange %s: found kind %q, expected direct or fanout, and under %d in all", name, kind, mostNames)
	}
	if b.kinds[name] == "" {
		b.kinds[name], b.exchanges[name] = kind, map[string][]string{}
	}
	return nil
}

// DeclareReadings makes what the rigs consume from: the queue readings, and a fanout exchange for what is given up, led to the
// queue dead.
func (b *Broker) DeclareReadings(exchange string, args Table) error {
	return errors.Join(b.Declare("readings", args), b.Declare("dead", nil), b.Exchange(exchange, "fanout"), b.Bind("dead", exchange, ""))
}

// Bind leads what comes to the exchange under the key on to the queue.
func (b *Broker) Bind(queue, exchange, key string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bind(queue, exchange, key)
}

func (b *Broker) bind(queue, exchange, key string) error {
	if b.queues[queue] == nil || exchange == "" || b.kinds[exchange] == "" {
		return fmt.Errorf("no queue %q or no exchange %q", queue, exchange)
	}
	if b.kinds[exchange] == "fanout" {
		key = ""
	}
	keys := b.exchanges[exchange]
	if !slices.Contains(keys[key], queue) && len(keys) < mostNames {
		keys[key] = append(keys[key], queue)
	}
	return nil
}
