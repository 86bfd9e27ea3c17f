package amqp

import (
	"time"

	"go.uber.org/zap"
)

// Front implements intake.Host for its controller.

// Dial implements intake.Host. It opens a session to the broker with that index.
func (f *Front) Dial(broker int) {
	f.sessionCount++
	f.unsettled = map[uint64]*message{}
	f.isConnected = false
	f.consumersStopped = true
	f.closeSubmitted = false
	f.session = openSession(f.config, f.name, f.config.Brokers[broker].Address, f.maxUnsettled(), f.loop.Post,
		sessionHandler{events: f.handleEvents, answer: f.handleAnswer})
}

// Disconnect implements intake.Host. It drops the session; the controller logs the reason.
func (f *Front) Disconnect(string) { f.dropSession(f.session) }

// Consume implements intake.Host. It starts or restarts the consumers with the credit.
func (f *Front) Consume(credit int) {
	f.consumersStopped = false
	f.controller.RequestSent(f.now())
	f.session.submitConsumer(consume(credit))
}

// Pause implements intake.Host. It cancels the consumers.
func (f *Front) Pause() {
	f.consumersStopped = false
	f.controller.RequestSent(f.now())
	f.session.submitConsumer(stopConsumers)
}

// ScheduleTick implements intake.Host. It does not cancel ticks that are scheduled for later: an extra tick is harmless.
func (f *Front) ScheduleTick(at time.Duration) {
	if f.nextTickAt > f.now() && f.nextTickAt <= at {
		return
	}
	f.nextTickAt = at
	f.loop.After(max(at-f.now(), time.Millisecond), func() { f.controller.Tick(f.now()) })
}

// Log implements intake.Host.
func (f *Front) Log(message string, fields ...zap.Field) { f.log.Info("amqp: "+message, fields...) }
