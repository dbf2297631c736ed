package coordination

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/groups"
)

// The kinds of messages. Each encoded message starts with its kind.
const (
	requestKind  = 1
	responseKind = 2
)

// Encode encodes a message for a link between nodes. The format is compact, because traffic between zones costs money.
func (m *Message) Encode() []byte {
	var enc encoder
	if m.Request != nil {
		enc.uint(requestKind)
		m.Request.encode(&enc)
	} else {
		enc.uint(responseKind)
		m.Response.encode(&enc)
	}
	return enc.bytes
}

// DecodeMessage decodes a message that Encode encoded. It returns ErrTruncated or ErrUnknownVersion for invalid data.
func DecodeMessage(b []byte) (*Message, error) {
	dec := decoder{bytes: b}
	var m Message
	switch kind := dec.uint(); kind {
	case requestKind:
		m.Request = decodeForwardRequest(&dec)
	case responseKind:
		m.Response = decodeForwardResponse(&dec)
	default:
		return nil, errors.Wrapf(ErrUnknownVersion, "decode message: kind %d", kind)
	}
	if dec.err != nil {
		return nil, errors.Wrap(dec.err, "decode message")
	}
	return &m, nil
}

func (f *ForwardRequest) encode(enc *encoder) {
	enc.uint(f.OriginIncarnation)
	enc.uint(uint64(f.Sequence))
	enc.uint(uint64(f.Attempt))
	enc.uint(f.TargetIncarnation)
	enc.duration(f.Deadline)
	f.Call.encode(enc)
}

func decodeForwardRequest(dec *decoder) *ForwardRequest {
	f := &ForwardRequest{}
	f.OriginIncarnation = dec.uint()
	f.Sequence = uint32(dec.uint())
	f.Attempt = uint8(dec.uint())
	f.TargetIncarnation = dec.uint()
	f.Deadline = dec.duration()
	f.Call.decode(dec)
	return f
}

func (f *ForwardResponse) encode(enc *encoder) {
	enc.uint(f.OriginIncarnation)
	enc.uint(uint64(f.Sequence))
	enc.uint(uint64(f.Attempt))
	enc.uint(uint64(f.Outcome))
	enc.string(f.LeaderHint)
	enc.uint(f.ResponderIncarnation)
	enc.duration(f.ResponderClock)
	f.Result.encode(enc)
}

func decodeForwardResponse(dec *decoder) *ForwardResponse {
	f := &ForwardResponse{}
	f.OriginIncarnation = dec.uint()
	f.Sequence = uint32(dec.uint())
	f.Attempt = uint8(dec.uint())
	f.Outcome = AttemptOutcome(dec.uint())
	f.LeaderHint = dec.string()
	f.ResponderIncarnation = dec.uint()
	f.ResponderClock = dec.duration()
	f.Result.decode(dec)
	return f
}

// encode appends the fields that the call's operation uses. Log entries store calls in the same format.
func (c *Call) encode(enc *encoder) {
	enc.uint(uint64(c.Operation))
	enc.string(c.Name)
	switch c.Operation {
	case LockAcquire:
		enc.string(c.Holder)
		enc.duration(c.TTL)
	case LockRenew:
		enc.string(c.Holder)
		enc.uint(c.FencingToken)
		enc.duration(c.TTL)
	case LockRelease:
		enc.string(c.Holder)
		enc.uint(c.FencingToken)
	case KeyPut:
		enc.string(c.Value)
		enc.bool(c.Conditional)
		enc.uint(c.ExpectedRevision)
	case KeyWatch:
		enc.uint(c.AfterRevision)
		enc.duration(c.Timeout)
	case LockList:
		enc.uint(uint64(c.Group))
	}
}

func (c *Call) decode(dec *decoder) {
	c.Operation = Operation(dec.uint())
	c.Name = dec.string()
	switch c.Operation {
	case LockAcquire:
		c.Holder = dec.string()
		c.TTL = dec.duration()
	case LockRenew:
		c.Holder = dec.string()
		c.FencingToken = dec.uint()
		c.TTL = dec.duration()
	case LockRelease:
		c.Holder = dec.string()
		c.FencingToken = dec.uint()
	case KeyPut:
		c.Value = dec.string()
		c.Conditional = dec.bool()
		c.ExpectedRevision = dec.uint()
	case KeyWatch:
		c.AfterRevision = dec.uint()
		c.Timeout = dec.duration()
	case LockList:
		c.Group = groups.ID(dec.uint())
	}
}

func (r *Result) encode(enc *encoder) {
	enc.uint(uint64(r.Status))
	enc.uint(r.FencingToken)
	enc.uint(r.Number)
	enc.uint(r.Revision)
	enc.string(r.Value)
	enc.uint(uint64(len(r.Events)))
	for i := range r.Events {
		r.Events[i].encode(enc)
	}
	enc.uint(uint64(len(r.Locks)))
	for _, l := range r.Locks {
		enc.string(l.Name)
		enc.string(l.Holder)
		enc.uint(l.FencingToken)
		enc.duration(l.TimeLeft)
	}
}

func (r *Result) decode(dec *decoder) {
	r.Status = Status(dec.uint())
	r.FencingToken = dec.uint()
	r.Number = dec.uint()
	r.Revision = dec.uint()
	r.Value = dec.string()
	if dec.err == nil && r.Status > StatusAmbiguous {
		dec.err = errors.Wrapf(ErrUnknownVersion, "result status %d", r.Status)
	}
	for range dec.count() {
		r.Events = append(r.Events, decodeEvent(dec))
	}
	for range dec.count() {
		r.Locks = append(r.Locks, LockInfo{Name: dec.string(), Holder: dec.string(), FencingToken: dec.uint(), TimeLeft: dec.duration()})
	}
}

func (e *Event) encode(enc *encoder) {
	enc.string(e.Name)
	enc.string(e.Value)
	enc.uint(e.Revision)
}

func decodeEvent(dec *decoder) Event {
	return Event{Name: dec.string(), Value: dec.string(), Revision: dec.uint()}
}
