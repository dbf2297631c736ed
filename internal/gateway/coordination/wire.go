package coordination

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/groups"
)

// Kinds of messages. The first value of an encoded message is the kind of the message.
const (
	requestKind  = 1
	responseKind = 2
)

// Encode encodes a message for a link between nodes. The format is compact, because traffic between zones costs money.
func (m *Message) Encode() []byte {
	var enc encoder
	if m.Request != nil {
		enc.writeUint(requestKind)
		m.Request.encode(&enc)
	} else {
		enc.writeUint(responseKind)
		m.Response.encode(&enc)
	}
	return enc.bytes
}

// DecodeMessage decodes a message that Message.Encode encoded. For invalid data it returns an error that wraps ErrTruncated or
// ErrUnknownVersion.
func DecodeMessage(b []byte) (*Message, error) {
	dec := decoder{bytes: b}
	var m Message
	switch kind := dec.readUint(); kind {
	case requestKind:
		m.Request = decodeForwardRequest(&dec)
	case responseKind:
		m.Response = decodeForwardResponse(&dec)
	default:
		return nil, errors.Wrapf(ErrUnknownVersion, "decode message: kind=%d", kind)
	}
	if dec.err != nil {
		return nil, errors.Wrap(dec.err, "decode message")
	}
	return &m, nil
}

func (f *ForwardRequest) encode(enc *encoder) {
	enc.writeUint(f.OriginIncarnation)
	enc.writeUint(uint64(f.Sequence))
	enc.writeUint(uint64(f.Attempt))
	enc.writeUint(f.TargetIncarnation)
	enc.writeDuration(f.Deadline)
	f.Call.encode(enc)
}

func decodeForwardRequest(dec *decoder) *ForwardRequest {
	f := &ForwardRequest{}
	f.OriginIncarnation = dec.readUint()
	f.Sequence = uint32(dec.readUint())
	f.Attempt = uint8(dec.readUint())
	f.TargetIncarnation = dec.readUint()
	f.Deadline = dec.readDuration()
	f.Call.decode(dec)
	return f
}

func (f *ForwardResponse) encode(enc *encoder) {
	enc.writeUint(f.OriginIncarnation)
	enc.writeUint(uint64(f.Sequence))
	enc.writeUint(uint64(f.Attempt))
	enc.writeUint(uint64(f.Outcome))
	enc.writeString(f.LeaderHint)
	enc.writeUint(f.ResponderIncarnation)
	enc.writeDuration(f.ResponderClock)
	f.Result.encode(enc)
}

func decodeForwardResponse(dec *decoder) *ForwardResponse {
	f := &ForwardResponse{}
	f.OriginIncarnation = dec.readUint()
	f.Sequence = uint32(dec.readUint())
	f.Attempt = uint8(dec.readUint())
	f.Outcome = AttemptOutcome(dec.readUint())
	f.LeaderHint = dec.readString()
	f.ResponderIncarnation = dec.readUint()
	f.ResponderClock = dec.readDuration()
	f.Result.decode(dec)
	return f
}

// encode appends the operation, the name and the fields that the operation uses. Log entries store calls in the same format.
func (c *Call) encode(enc *encoder) {
	enc.writeUint(uint64(c.Operation))
	enc.writeString(c.Name)
	switch c.Operation {
	case LockAcquire:
		enc.writeString(c.Holder)
		enc.writeDuration(c.TTL)
	case LockRenew:
		enc.writeString(c.Holder)
		enc.writeUint(c.FencingToken)
		enc.writeDuration(c.TTL)
	case LockRelease:
		enc.writeString(c.Holder)
		enc.writeUint(c.FencingToken)
	case KeyPut:
		enc.writeString(c.Value)
		enc.writeBool(c.Conditional)
		enc.writeUint(c.ExpectedRevision)
	case KeyWatch:
		enc.writeUint(c.AfterRevision)
		enc.writeDuration(c.Timeout)
	case LockList:
		enc.writeUint(uint64(c.Group))
	}
}

func (c *Call) decode(dec *decoder) {
	c.Operation = Operation(dec.readUint())
	c.Name = dec.readString()
	switch c.Operation {
	case LockAcquire:
		c.Holder = dec.readString()
		c.TTL = dec.readDuration()
	case LockRenew:
		c.Holder = dec.readString()
		c.FencingToken = dec.readUint()
		c.TTL = dec.readDuration()
	case LockRelease:
		c.Holder = dec.readString()
		c.FencingToken = dec.readUint()
	case KeyPut:
		c.Value = dec.readString()
		c.Conditional = dec.readBool()
		c.ExpectedRevision = dec.readUint()
	case KeyWatch:
		c.AfterRevision = dec.readUint()
		c.Timeout = dec.readDuration()
	case LockList:
		c.Group = groups.ID(dec.readUint())
	}
}

func (r *Result) encode(enc *encoder) {
	enc.writeUint(uint64(r.Status))
	enc.writeUint(r.FencingToken)
	enc.writeUint(r.Number)
	enc.writeUint(r.Revision)
	enc.writeString(r.Value)
	enc.writeUint(uint64(len(r.Events)))
	for i := range r.Events {
		r.Events[i].encode(enc)
	}
	enc.writeUint(uint64(len(r.Locks)))
	for _, l := range r.Locks {
		enc.writeString(l.Name)
		enc.writeString(l.Holder)
		enc.writeUint(l.FencingToken)
		enc.writeDuration(l.TimeLeft)
	}
}

func (r *Result) decode(dec *decoder) {
	r.Status = Status(dec.readUint())
	r.FencingToken = dec.readUint()
	r.Number = dec.readUint()
	r.Revision = dec.readUint()
	r.Value = dec.readString()
	if dec.err == nil && r.Status > StatusAmbiguous {
		dec.err = errors.Wrapf(ErrUnknownVersion, "decode result: status=%d", r.Status)
	}
	for range dec.readCount() {
		r.Events = append(r.Events, decodeEvent(dec))
	}
	for range dec.readCount() {
		r.Locks = append(r.Locks, LockInfo{Name: dec.readString(), Holder: dec.readString(), FencingToken: dec.readUint(), TimeLeft: dec.readDuration()})
	}
}

func (e *Event) encode(enc *encoder) {
	enc.writeString(e.Name)
	enc.writeString(e.Value)
	enc.writeUint(e.Revision)
}

func decodeEvent(dec *decoder) Event {
	return Event{Name: dec.readString(), Value: dec.readString(), Revision: dec.readUint()}
}
