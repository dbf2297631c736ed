package upstream

import (
	"clovergap/control"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/slots"
)

// limitAlarm ends an attempt at its deadline.
type limitAlarm struct{ dispatch *Dispatch }

// dialAlarm ends an attempt whose connection did not come up within Config.DialTimeout.
type dialAlarm struct{ dispatch *Dispatch }

// partAlarm ends an attempt whose answer began and was not complete in time: a length that promises more than comes, or a head that
// trickles. Without it the client would wait until the attempt's deadline. A backend with a network that slow suffers from it.
type partAlarm struct{ dispatch *Dispatch }

// Live implements eventloop.Alarm.
func (p *partAlarm) Live(ref uint32) bool {
	s := p.dispatch.submissions.Get(slots.Ref(ref))
	return s != nil && s.answerDeadline > 0
}

// Due implements eventloop.Alarm.
func (p *partAlarm) Due(ref uint32) {
	s := p.dispatch.submissions.Get(slots.Ref(ref))
	switch {
	case !p.Live(ref) || p.dispatch.engine.Now() < s.answerDeadline:
	case s.conn != nil && s.conn.link.HasUnreadInput() && !disabledChecks.unread: // the rest may have come in time
		s.answerDeadline = p.dispatch.engine.Now() + s.answerTimeout
		p.dispatch.engine.At(s.answerDeadline, p, ref)
	default:
		p.dispatch.badAnswer(slots.Ref(ref))
	}
}

// Live implements eventloop.Alarm.
func (l *limitAlarm) Live(ref uint32) bool { return l.dispatch.submissions.Get(slots.Ref(ref)) != nil }

// Due implements eventloop.Alarm.
func (l *limitAlarm) Due(ref uint32) {
	// A slot's generations wrap around: an old alarm's reference may name a later attempt.
	if s := l.dispatch.submissions.Get(slots.Ref(ref)); s != nil && l.dispatch.engine.Now() >= s.deadline {
		l.dispatch.giveUp(slots.Ref(ref), control.TimedOut, control.Unreachable)
	}
}

// Live implements eventloop.Alarm.
func (d *dialAlarm) Live(ref uint32) bool {
	s := d.dispatch.submissions.Get(slots.Ref(ref))
	return s != nil && s.conn != nil && s.conn.dialing
}

// Due implements eventloop.Alarm.
func (d *dialAlarm) Due(ref uint32) {
	if s := d.dispatch.submissions.Get(slots.Ref(ref)); d.Live(ref) && d.dispatch.engine.Now() >= s.started+d.dispatch.config.DialTimeout {
		d.dispatch.engine.Count.Add(counters.DialsFailed)
		d.dispatch.giveUp(slots.Ref(ref), control.ConnectionLost, control.Unreachable)
	}
}
