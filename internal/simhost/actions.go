package simhost

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"thymechute/internal/wire"
	"thymechute/policy"
)

// alarmReference identifies an instance's alarm. It is the same for all, as an instance has one alarm at a time.
const alarmReference = 1

// requestLine starts the line of an action on a request.
func (h *host) requestLine(action string, id policy.RequestID) wire.Line {
	return wire.NewLine(h.out, action).Uint("ticket", h.requests.tickets[id])
}

// Start writes RUN. It implements policy.Host, as do the methods below, each of which writes one action's line.
func (h *host) Start(id policy.RequestID) { h.out = h.requestLine("RUN", id).End() }

// Stop writes TAKE_OFF.
func (h *host) Stop(id policy.RequestID) { h.out = h.requestLine("TAKE_OFF", id).End() }

// Reject writes NOT_NOW.
func (h *host) Reject(id policy.RequestID, r policy.Rejection) {
	line := h.requestLine("NOT_NOW", id).Seconds("pause_s", r.RetryAfter)
	h.out = line.Bool("final", r.NoRetryElsewhere).End()
}

// Fail writes ERROR.
func (h *host) Fail(id policy.RequestID) { h.out = h.requestLine("ERROR", id).End() }

// Call writes CALL_DEP.
func (h *host) Call(id policy.RequestID, timeout time.Duration) {
	h.out = h.requestLine("CALL_DEP", id).Seconds("patience_s", timeout).End()
}

// SkipCall writes OMIT.
func (h *host) SkipCall(id policy.RequestID) { h.out = h.requestLine("OMIT", id).End() }

// RecordKey writes RECORD_KEY.
func (h *host) RecordKey(id policy.RequestID, lifetime time.Duration) {
	h.out = h.requestLine("RECORD_KEY", id).Seconds("for_time_s", lifetime).End()
}

// ForgetKey writes RELEASE_KEY.
func (h *host) ForgetKey(id policy.RequestID) { h.out = h.requestLine("RELEASE_KEY", id).End() }

// Coalesce writes ATTACH.
func (h *host) Coalesce(id policy.RequestID) { h.out = h.requestLine("ATTACH", id).End() }

// SetHealth writes FITNESS.
func (h *host) SetHealth(health policy.Health) {
	line := wire.NewLine(h.out, "FITNESS").Bool("stored", health.SkipSelfTest)
	h.out = line.Bool("on", health.Healthy).End()
}

// SetIdleTimeout writes IDLE.
func (h *host) SetIdleTimeout(timeout time.Duration) {
	h.out = wire.NewLine(h.out, "IDLE").Seconds("for_time_s", timeout).End()
}

// Advertise writes SIGNAL.
func (h *host) Advertise(value float64) {
	h.out = wire.NewLine(h.out, "SIGNAL").Number("value", value).End()
}

// Wake writes NOTIFY_ME, with the time converted to the simulator's clock.
func (h *host) Wake(at time.Duration) {
	line := wire.NewLine(h.out, "NOTIFY_ME").Seconds("alarm_time_s", h.startedAt+at)
	h.out = line.Uint("ref", alarmReference).End()
}

// Log writes DEBUG: the message, then each field as key=value.
func (h *host) Log(message string, fields ...zap.Field) {
	text := message
	for _, field := range fields {
		values := zapcore.NewMapObjectEncoder()
		field.AddTo(values)
		text += fmt.Sprintf(" %s=%v", field.Key, values.Fields[field.Key])
	}
	h.out = wire.NewLine(h.out, "DEBUG").Text("text", text).End()
}

// Release frees the request id for reuse. It writes nothing.
func (h *host) Release(id policy.RequestID) { h.requests.release(id) }
