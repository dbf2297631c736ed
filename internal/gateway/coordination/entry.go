package coordination

import "time"

// entryVersion begins each entry and each state.
const entryVersion = 1

// entry is a call in a group's log: what it is, when whoever led took it in by the log clock, and which call it is.
type entry struct {
	call    Call
	logTime time.Duration
	callID  CallID
}

// encode words an entry for the log.
func (e *entry) encode() []byte {
	var item encoder
	item.uint(entryVersion)
	item.duration(e.logTime)
	item.bool(e.call.Operation == LockAcquire)
	if e.call.Operation == LockAcquire {
		encodeCallID(&item, e.callID)
	}
	e.call.encode(&item)
	return item.bytes
}

// decodeEntry reads an entry of the log.
func decodeEntry(b []byte) (x entry, err error) {
	d := decoder{bytes: b}
	if d.uint() != entryVersion {
		return x, ErrUnknownVersion
	}
	x.logTime = d.duration()
	if d.bool() {
		x.callID = decodeCallID(&d)
	}
	x.call.decode(&d)
	return x, d.err
}

// encodeResult words what an entry led to, for whoever proposed it.
func encodeResult(a Result) []byte {
	var e encoder
	e.uint(uint64(a.Status))
	e.uint(a.FencingToken)
	e.uint(a.Number)
	e.uint(a.Revision)
	return e.bytes
}

func decodeResult(b []byte) (a Result, err error) {
	d := decoder{bytes: b}
	a.Status = Status(d.uint())
	a.FencingToken, a.Number, a.Revision = d.uint(), d.uint(), d.uint()
	if d.err == nil && a.Status > StatusAmbiguous {
		return a, ErrUnknownVersion
	}
	return a, d.err
}
