package amqp

import "time"

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

// ScheduleTick implements intake.Host. A later tick that is pending does no harm.
func (f *Front) ScheduleTick(at time.Duration) {
	if f.tickAt > f.now() && f.tickAt <= at {
		return
	}
	f.tickAt = at
	f.loop.After(max(at-f.now(), time.Millisecond), func() { f.controller.Tick(f.now()) })
}

// Logf implements intake.Host.
func (f *Front) Logf(format string, args ...any) { f.log.Sugar().Infof("amqp: "+format, args...) }
