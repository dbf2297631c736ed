package coordination

import "time"

// entryVersion begins each entry and each state.
const entryVersion = 1

// entry is a call in a group's log: what it is, when whoever led took it in by the log clock, and which call it is.
type entry struct {
	call Call
	at   time.Duration
	id   CallID
}

// encode words an entry for the log.
func (x *entry) encode() []byte {
	var e encoder
	e.uint(entryVersion)
	e.uint(uint64(x.call.Operation))
	e.time(x.at)
	e.text(x.call.Name)
	switch x.call.Operation {
	case LockBegin:
		e.text(x.call.Holder)
		e.time(x.call.Hold)
		e.uint(x.id.Life)
		e.uint(uint64(x.id.Number))
	case LockHeartbeat:
		e.text(x.call.Holder)
		e.uint(x.call.Fence)
		e.time(x.call.Hold)
	case LockFinish:
		e.text(x.call.Holder)
		e.uint(x.call.Fence)
	case KeyReplace:
		e.text(x.call.Value)
		e.uint(x.call.Expected)
	}
	return e.bytes
}

// decodeEntry reads an entry of the log.
func decodeEntry(b []byte) (x entry, err error) {
	d := decoder{bytes: b}
	if d.uint() != entryVersion {
		return x, errVersion
	}
	x.call.Operation = Operation(d.uint())
	x.at = d.time()
	x.call.Name = d.text()
	switch x.call.Operation {
	case LockBegin:
		x.call.Holder, x.call.Hold = d.text(), d.time()
		x.id = CallID{d.uint(), uint32(d.uint())}
	case LockHeartbeat:
		x.call.Holder, x.call.Fence, x.call.Hold = d.text(), d.uint(), d.time()
	case LockFinish:
		x.call.Holder, x.call.Fence = d.text(), d.uint()
	case KeyReplace:
		x.call.Value, x.call.Expected = d.text(), d.uint()
	}
	return x, d.err
}

// encodeResult words what an entry led to, for whoever proposed it.
func encodeResult(a Answer) []byte {
	var e encoder
	e.uint(uint64(a.Status))
	e.uint(a.Fence)
	e.uint(a.Number)
	e.uint(a.Revision)
	return e.bytes
}

func decodeResult(b []byte) (a Answer, err error) {
	d := decoder{bytes: b}
	a.Status = Status(d.uint())
	a.Fence, a.Number, a.Revision = d.uint(), d.uint(), d.uint()
	if d.err == nil && a.Status > Unclear {
		return a, errVersion
	}
	return a, d.err
}
