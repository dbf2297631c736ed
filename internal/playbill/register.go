package playbill

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/check"
)

// Kind tells the two calls that change the configuration.
type Kind int

// The calls: a whole configuration, or a change of named items.
const (
	Replace Kind = iota
	Amend
)

// Verdict is what becomes of a call.
type Verdict int

// The verdicts, with the answers that they stand for.
const (
	Taken    Verdict = iota // 200: in force now
	Already                 // 200: these bytes were taken before
	Conflict                // 412: another version is current
	Invalid                 // 400
)

func (v Verdict) String() string {
	return [...]string{"taken", "already", "conflict", "invalid"}[v]
}

// mostTaken bounds how many versions back a call that is repeated is known again.
const mostTaken = 256

type digest [sha256.Size]byte

func digestOf(k Kind, body []byte) digest {
	h := sha256.New()
	h.Write([]byte{byte(k)})
	h.Write(body)
	return digest(h.Sum(nil))
}

type taken struct {
	Version uint64
	Digest  digest
}

// Register is the configuration in force, folded from the ordered log of calls: members that apply the same
// calls in the same order come to the same. It is not safe for use by several at once.
type Register struct {
	version uint64
	body    []byte
	bill    *Bill
	taken   []taken // oldest first, the last mostTaken

	// The last call judged since the register changed: a door decides a call and then applies it.
	judged  digest
	outcome *outcome
}

type outcome struct {
	verdict Verdict
	err     error
	body    []byte // these only where taken
	bill    *Bill
}

// NewRegister returns a register in which no configuration is in force.
func NewRegister() *Register { return &Register{} }

// Decide tells what would become of a call now, and changes nothing. The error is nil where it would be
// taken or was before, else a *Fault.
func (r *Register) Decide(k Kind, body []byte) (Verdict, error) {
	o := r.judge(digestOf(k, body), k, body)
	return o.verdict, o.err
}

// Apply carries out a call, as Decide tells it. The body is copied.
func (r *Register) Apply(k Kind, body []byte) (Verdict, error) {
	d := digestOf(k, body)
	o := r.judge(d, k, body)
	if o.verdict != Taken {
		return o.verdict, o.err
	}
	check.That(o.bill.Generation > r.version, "versions of the configuration go up")
	r.version, r.body, r.bill = o.bill.Generation, o.body, o.bill
	if len(r.taken) == mostTaken {
		r.taken = slices.Delete(r.taken, 0, 1)
	}
	r.taken = append(r.taken, taken{r.version, d})
	r.outcome = nil
	return Taken, nil
}

func (r *Register) judge(d digest, k Kind, body []byte) *outcome {
	if r.outcome == nil || r.judged != d {
		o := r.weigh(d, k, body)
		r.judged, r.outcome = d, &o
	}
	return r.outcome
}

func (r *Register) weigh(d digest, k Kind, body []byte) outcome {
	// The digest covers the generation that the body names.
	if slices.ContainsFunc(r.taken, func(t taken) bool { return t.Digest == d }) {
		return outcome{verdict: Already}
	}
	var generation, parent uint64
	var bill *Bill
	var err error
	switch k {
	case Replace:
		bill = new(Bill)
		if err = read(body, bill); err == nil {
			generation, parent = bill.Generation, bill.ParentVersion
		}
	case Amend:
		a := new(Amendment)
		if err = read(body, a); err == nil {
			generation, parent = a.Generation, a.ParentVersion
			err = inspect(a)
		}
	default:
		err = fault("", "no such call")
	}
	if err != nil {
		return outcome{verdict: Invalid, err: err}
	}
	if parent != r.version {
		err = fault("parent_version", "is %d, but %d is current", parent, r.version)
		return outcome{verdict: Conflict, err: err}
	}
	if generation == 0 {
		return outcome{verdict: Invalid, err: fault("generation", "missing")}
	}
	if generation <= r.version {
		err = fault("generation", "is %d, not above %d", generation, r.version)
		return outcome{verdict: Invalid, err: err}
	}
	whole := slices.Clone(body)
	if k == Amend {
		if whole, err = merge(r.body, body); err == nil {
			bill = new(Bill)
			err = json.Unmarshal(whole, bill)
		}
		if err != nil {
			return outcome{verdict: Invalid, err: fault("", "what results can't be read: %s", err)}
		}
		check.That(bill.Generation == generation, "what results has the change's generation")
	}
	if err := inspect(bill); err != nil {
		return outcome{verdict: Invalid, err: err}
	}
	return outcome{verdict: Taken, body: whole, bill: bill}
}

// Version is the generation in force, 0 if there is none.
func (r *Register) Version() uint64 { return r.version }

// Body is the configuration in force, whole, for Config.Read: the bytes of a Replace as they came, or what
// resulted from an Amend, under that call's generation and parent_version. Nil if there is none; not to be
// changed.
func (r *Register) Body() []byte { return r.body }

// Bill is the configuration in force as it was read, nil if there is none; not to be changed.
func (r *Register) Bill() *Bill { return r.bill }

// snapshot is the register's state as it is stored and sent.
type snapshot struct {
	Body  []byte
	Taken []taken
}

// Snapshot gives the whole register as bytes, by gob. Equal registers give equal bytes within a program.
func (r *Register) Snapshot() []byte {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(snapshot{r.body, r.taken}); err != nil {
		check.That(false, "a register has a snapshot")
	}
	return out.Bytes()
}

// Restore makes the register of a snapshot. What was taken once is not judged again: a later program may
// refuse more, but must not lose what is in force.
func Restore(b []byte) (*Register, error) {
	var s snapshot
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "read snapshot of the configuration")
	}
	r := &Register{taken: s.Taken}
	if len(s.Body) == 0 {
		return r, nil
	}
	r.bill = new(Bill)
	if err := json.Unmarshal(s.Body, r.bill); err != nil {
		return nil, errors.Wrap(err, "read configuration of a snapshot")
	}
	r.version, r.body = r.bill.Generation, s.Body
	return r, nil
}
