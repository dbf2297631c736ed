// Package simwire reads and writes the drill's frames and puts the wire's names into our words.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"clovergap/control"
	"clovergap/control/loadbalancer"
	"clovergap/internal/frontdoor/config"
)

const maxFrameBytes = 1 << 28 // bytes of a frame; more is a broken stream

// Codes of records that come in.
const (
	inStart, inEndpoints, inTxn, inOpened, inSubmissionEnded, inClientLeft = 1000, 1010, 1020, 1030, 1040, 1050
	inTimer, inProbeEnded, inDatagram, inStop, inCount, inInstance         = 1060, 1070, 1080, 1090, 1100, 1110
)

// Codes of records that go out.
const (
	outSubmit, outReject, outFail, outCancel, outWake    = 1000, 1010, 1020, 1030, 1040
	outProbe, outDatagram, outLog, outCrash, outInstance = 1050, 1070, 1080, 1090, 1130
)

var endings = map[byte]control.Ending{0: control.Succeeded, 5: control.Errored, 11: control.Rejected,
	110: control.TimedOut, 111: control.Unreachable, 104: control.ConnectionLost,
	125: control.Canceled, 114: control.NotSent}

// cursor walks through the bytes of one frame.
type cursor struct {
	data   []byte
	offset int
	code   int
	err    error
}

func (c *cursor) take(n int) []byte {
	if c.err == nil && (n < 0 || len(c.data)-c.offset < n) {
		c.err = fmt.Errorf("record %d cut short at byte %d", c.code, c.offset)
	}
	if c.err != nil {
		return make([]byte, max(0, min(n, 8)))
	}
	c.offset += n
	return c.data[c.offset-n : c.offset]
}

func (c *cursor) u8() byte    { return c.take(1)[0] }
func (c *cursor) u16() uint16 { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32 { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64 { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64 {
	v := float64(math.Float32frombits(c.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
func (c *cursor) span() time.Duration { return microseconds(c.u64()) }
func (c *cursor) backend() control.BackendID {
	a := c.take(6)
	return control.BackendID(binary.BigEndian.Uint32(a))<<16 |
		control.BackendID(binary.LittleEndian.Uint16(a[4:]))
}
func (c *cursor) load() []float64 {
	n := int(c.u8())
	var v []float64
	for ; n > 0 && c.err == nil; n-- {
		v = append(v, c.f32())
	}
	return v
}

func microseconds(v uint64) time.Duration {
	return time.Duration(min(v, math.MaxInt64/1000)) * time.Microsecond
}

// Host runs the instances of one process, each as if alone.
type Host struct {
	nodes   map[uint16]*loadbalancer.Controller
	active  map[uint16]bool
	order   []uint16
	out     []byte
	current int
}

// Serve answers frames until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	h.nodes = map[uint16]*loadbalancer.Controller{}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	for {
		var head [16]byte
		if _, err := io.ReadFull(r, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return errors.New("frame header cut short")
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size > maxFrameBytes {
			return fmt.Errorf("frame header at byte 0: length %d is too long", size)
		}
		body := make([]byte, size)
		if n, err := io.ReadFull(r, body); err != nil {
			return fmt.Errorf("frame body cut short at byte %d of %d", n, size)
		}
		if err := h.applyFrame(microseconds(binary.LittleEndian.Uint64(head[4:])), body); err != nil {
			return err
		}
		var reply [8]byte
		binary.LittleEndian.PutUint32(reply[:], uint32(len(h.out)))
		copy(reply[4:], head[12:])
		w.Write(reply[:])
		w.Write(h.out)
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

func (h *Host) applyFrame(now time.Duration, body []byte) error {
	h.out, h.current, h.order, h.active = h.out[:0], -1, h.order[:0], map[uint16]bool{}
	c := &cursor{data: body}
	who, named := uint16(0), false
	for c.offset < len(body) {
		start := c.offset
		c.code = 0
		c.code = int(c.u16())
		size := int(c.u32())
		if c.err == nil && size > len(body)-c.offset {
			c.err = fmt.Errorf("record %d at byte %d says %d bytes, %d are left",
				c.code, start, size, len(body)-c.offset)
		}
		if c.err != nil {
			return c.err
		}
		end := c.offset + size
		f := &cursor{data: body[:end], offset: c.offset, code: c.code}
		if c.code == inInstance {
			who, named = f.u16(), true
		} else if !named {
			return fmt.Errorf("record %d at byte %d comes before any instance is named", c.code, start)
		} else {
			h.applyRecord(now, who, f)
		}
		if f.err != nil {
			return f.err
		}
		if f.offset != end && knownCode(c.code) {
			return fmt.Errorf("record %d at byte %d has %d bytes too many", c.code, start, end-f.offset)
		}
		c.offset = end
	}
	for _, who := range h.order {
		h.encodeDecisions(who)
	}
	return nil
}

func knownCode(code int) bool { return code >= inStart && code <= inInstance && code%10 == 0 }

// recoverCrash turns a panic of the module into the wire's crash report.
func (h *Host) recoverCrash(who uint16) {
	if cause := recover(); cause != nil {
		h.crash(who, fmt.Sprint(cause))
	}
}

func (h *Host) crash(who uint16, cause string) {
	delete(h.nodes, who)
	h.appendRecord(who, outCrash, encodeText(cause))
}

// applyRecord decodes one record into a call.
func (h *Host) applyRecord(now time.Duration, who uint16, f *cursor) {
	call := h.decode(f, who, now)
	if f.err != nil || call == nil {
		return
	}
	if !h.active[who] {
		h.active[who] = true
		h.order = append(h.order, who)
	}
	defer h.recoverCrash(who)
	if d := h.nodes[who]; d != nil {
		d.Now(now)
		call(d)
	}
}

func (h *Host) decode(f *cursor, who uint16, now time.Duration) func(d *loadbalancer.Controller) {
	switch f.code {
	case inStart:
		seed := int64(f.u64())
		env := string(f.take(int(f.u32())))
		if f.err != nil {
			return nil
		}
		d, err := loadbalancer.New(seed, config.ParseLines(env), now)
		if err != nil {
			h.crash(who, err.Error())
			return nil
		}
		h.nodes[who] = d
		return func(*loadbalancer.Controller) {}
	case inStop:
		delete(h.nodes, who)
	case inEndpoints:
		how := f.u8()
		f.u64()
		n := int(f.u32())
		var list []control.Endpoint
		for ; n > 0 && f.err == nil; n-- {
			l := control.Endpoint{ID: f.backend(), Zone: control.ZoneID(f.u8())}
			f.u8()
			l.Pod = control.PodID(f.u16())
			l.State = control.BackendState(f.u8())
			l.Capacity, l.Started = f.f32(), f.span()
			list = append(list, l)
		}
		if how == 0 {
			return nil
		}
		return func(d *loadbalancer.Controller) { d.EndpointsChanged(how != 2, list) }
	case inTxn:
		t := control.Txn{ID: control.TxnID(f.u32()), Expiry: f.span()}
		t.SetWidth, t.Units = int(f.f32()), f.f32()
		t.Product = control.ProductID(f.u8())
		t.Retry = f.u8()&2 != 0
		t.Plan = control.PlanID(f.u32())
		t.SetFirst, t.Customer = control.GatewayID(f.f32()), control.CustomerID(f.u64())
		return func(d *loadbalancer.Controller) { d.TxnArrived(t) }
	case inOpened:
		f.take(16)
	case inSubmissionEnded:
		id, nr, over := control.TxnID(f.u32()), int(f.u16()), f.u8() != 0
		f.u16()
		took := microseconds(uint64(f.u32()))
		f.u16()
		ending, ok := endings[f.u8()]
		if !ok {
			ending = control.ConnectionLost
		}
		b, load := f.backend(), f.load()
		return func(d *loadbalancer.Controller) { d.SubmissionEnded(id, nr, b, ending, over, took, load) }
	case inClientLeft:
		id := control.TxnID(f.u32())
		return func(d *loadbalancer.Controller) { d.ClientLeft(id) }
	case inTimer:
		token := f.u64()
		return func(d *loadbalancer.Controller) { d.Woken(token) }
	case inProbeEnded:
		took := microseconds(uint64(f.u32()))
		good := f.u8() == 0
		b, load := f.backend(), f.load()
		return func(d *loadbalancer.Controller) { d.ProbeEnded(b, good, took, load) }
	case inDatagram:
		from := control.GatewayID(f.u32())
		payload := f.take(int(f.u16()))
		return func(d *loadbalancer.Controller) { d.DatagramReceived(from, payload) }
	case inCount:
		f.take(17)
	}
	return nil
}

// encodeDecisions encodes the decisions of an instance until there is none left.
func (h *Host) encodeDecisions(who uint16) {
	defer h.recoverCrash(who)
	d := h.nodes[who]
	if d == nil {
		return
	}
	for {
		x, ok := d.Next()
		if !ok {
			return
		}
		h.encode(who, x)
	}
}

func (h *Host) encode(who uint16, x control.Decision) {
	le := binary.LittleEndian
	id := le.AppendUint32(nil, uint32(x.Txn))
	at := binary.BigEndian.AppendUint32(nil, uint32(x.Backend>>16))
	at = le.AppendUint16(at, uint16(x.Backend))
	span := uint32(min(max(x.After.Microseconds(), 0), math.MaxUint32))
	switch x.Action {
	case control.Submit:
		h.appendRecord(who, outSubmit, le.AppendUint32(append(id, at...), span))
	case control.Reject:
		h.appendRecord(who, outReject, le.AppendUint32(id, span))
	case control.Fail:
		h.appendRecord(who, outFail, id)
	case control.Cancel:
		h.appendRecord(who, outCancel, le.AppendUint16(id, uint16(x.Attempt)))
	case control.Probe:
		h.appendRecord(who, outProbe, at)
	case control.SendDatagram:
		to := le.AppendUint32(nil, uint32(x.Peer))
		h.appendRecord(who, outDatagram, append(to, encodeText(string(x.Payload))...))
	case control.Wake:
		h.appendRecord(who, outWake, le.AppendUint64(le.AppendUint32(nil, span), x.Token))
	case control.Log:
		h.appendRecord(who, outLog, encodeText(x.Entry.String()))
	}
}

func encodeText(s string) []byte {
	s = s[:min(len(s), math.MaxUint16)]
	return append(binary.LittleEndian.AppendUint16(nil, uint16(len(s))), s...)
}

func (h *Host) appendRecord(who uint16, code uint16, fields []byte) {
	le := binary.LittleEndian
	if h.current != int(who) {
		h.current = int(who)
		h.out = le.AppendUint16(le.AppendUint32(le.AppendUint16(h.out, outInstance), 2), who)
	}
	h.out = append(le.AppendUint32(le.AppendUint16(h.out, code), uint32(len(fields))), fields...)
}
