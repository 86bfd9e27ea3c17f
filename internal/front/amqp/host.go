package amqp

import (
	"time"

	"go.uber.org/zap"
)

// A Front is the intake.Host of its controller.

// Dial implements intake.Host. It opens a session with a broker.
func (f *Front) Dial(broker int) {
	f.sessionCount++
	f.unsettled = map[uint64]*message{}
	f.isConnected = false
	f.consumersStopped = true
	f.closing = false
	f.session = openSession(f.config, f.name, f.config.Brokers[broker].Address, f.maxUnsettled(), f.loop.Post,
		sessionHandler{events: f.handleEvents, answer: f.handleAnswer})
}

// Disconnect implements intake.Host.
func (f *Front) Disconnect(string) { f.dropSession(f.session) }

// Consume implements intake.Host.
func (f *Front) Consume(credit int) {
	f.consumersStopped = false
	f.controller.RequestSent(f.now())
	f.session.submitConsumer(consume(credit))
}

// Pause implements intake.Host.
func (f *Front) Pause() {
	f.consumersStopped = false
	f.controller.RequestSent(f.now())
	f.session.submitConsumer(stopConsumers)
}

// ScheduleTick implements intake.Host. A pending tick at a later time is not cancelled, as an extra tick does no harm.
func (f *Front) ScheduleTick(at time.Duration) {
	if f.tickAt > f.now() && f.tickAt <= at {
		return
	}
	f.tickAt = at
	f.loop.After(max(at-f.now(), time.Millisecond), func() { f.controller.Tick(f.now()) })
}

// Log implements intake.Host.
func (f *Front) Log(message string, fields ...zap.Field) { f.log.Info("amqp: "+message, fields...) }
