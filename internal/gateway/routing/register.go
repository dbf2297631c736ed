package routing

import (
	"crypto/sha256"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/invariant"
)

// Kind tells the two calls that change the configuration.
type Kind int

// The calls: a whole configuration, or a change of named items.
const (
	Replace Kind = iota
	Amend
)

// Result is what becomes of a call.
type Result int

// The verdicts, with the answers that they stand for.
const (
	Accepted  Result = iota // 200: in force now
	Duplicate               // 200: these bytes were taken before
	Conflict                // 412: another version is current
	Invalid                 // 400
	Ambiguous               // 503: it may have been taken so long ago that this is forgotten
)

func (r Result) String() string {
	return [...]string{"taken", "already", "conflict", "invalid", "unclear"}[r]
}

func digestOf(k Kind, body []byte) logentry.Digest { return logentry.DigestOf([]byte{byte(k)}, body) }

// Register is the configuration in force, folded from the ordered log of calls: members that apply the same
// calls in the same order come to the same. It is not safe for use by several at once.
type Register struct {
	version  uint64
	body     []byte
	config   *Config
	accepted *logentry.DedupWindow // by version

	// The last call judged since the register changed: a node decides a call and then applies it.
	decidedDigest logentry.Digest
	decided       *decision

	defect defect
}

// defect is one that tests put in, to see that they find it.
type defect uint8

const (
	sound       defect = iota
	noHorizon          // what is forgotten is judged as what never was
	notKept            // a snapshot has no window
	refuseStale        // a refusal by this state counts as one by every state
)

type decision struct {
	result Result
	err    error
	final  bool   // it will be so in every later state
	body   []byte // these only where taken
	config *Config
}

// NewRegister returns a register in which no configuration is in force.
func NewRegister() *Register {
	return &Register{accepted: logentry.NewDedupWindow(logentry.DedupWindowBytes)}
}

// Decide tells what would become of a call now, and changes nothing. The error is nil where it would be
// taken or was before, else a *FieldError.
func (r *Register) Decide(k Kind, body []byte) (Result, error) {
	o := r.decide(digestOf(k, body), k, body)
	return o.result, o.err
}

// Final is as Decide, and tells besides whether the verdict is the same in every later state: a node that is behind may
// answer by that, and by nothing else.
func (r *Register) Final(k Kind, body []byte) (v Result, err error, final bool) {
	o := r.decide(digestOf(k, body), k, body)
	return o.result, o.err, o.final || r.defect == refuseStale && o.result != Accepted
}

// Apply carries out a call, as Decide tells it. The body is copied.
func (r *Register) Apply(k Kind, body []byte) (Result, error) {
	d := digestOf(k, body)
	o := r.decide(d, k, body)
	if o.result != Accepted {
		return o.result, o.err
	}
	invariant.That(o.config.Generation > r.version, "versions of the configuration go up")
	r.version, r.body, r.config = o.config.Generation, o.body, o.config
	r.accepted.Add(r.version, d)
	r.decided = nil
	return Accepted, nil
}

func (r *Register) decide(d logentry.Digest, k Kind, body []byte) *decision {
	if r.decided == nil || r.decidedDigest != d {
		o := r.evaluate(d, k, body)
		r.decidedDigest, r.decided = d, &o
	}
	return r.decided
}

func (r *Register) evaluate(d logentry.Digest, k Kind, body []byte) decision {
	// The digest covers the generation that the body names.
	if r.accepted.Has(d) {
		return decision{result: Duplicate, final: true}
	}
	// One at or below the horizon may have been taken and is not read any further: a later program may refuse more.
	if horizon := r.accepted.Horizon(); horizon > 0 && r.defect != noHorizon {
		var of struct{ Generation uint64 }
		if json.Unmarshal(body, &of); of.Generation > 0 && of.Generation <= horizon {
			err := fieldError("generation", "is %d, and of %d and below it is not known any more what was taken: read what is in force",
				of.Generation, horizon)
			return decision{result: Ambiguous, err: err, final: true}
		}
	}
	var generation, parent uint64
	var config *Config
	var err error
	switch k {
	case Replace:
		config = new(Config)
		if err = read(body, config); err == nil {
			generation, parent = config.Generation, config.ParentVersion
		}
	case Amend:
		a := new(Amendment)
		if err = read(body, a); err == nil {
			generation, parent = a.Generation, a.ParentVersion
			err = validate(a)
		}
	default:
		err = fieldError("", "no such call")
	}
	if err != nil {
		return decision{result: Invalid, err: err, final: true}
	}
	if parent != r.version {
		err = fieldError("parent_version", "is %d, but %d is current", parent, r.version)
		return decision{result: Conflict, err: err}
	}
	if generation == 0 {
		return decision{result: Invalid, err: fieldError("generation", "missing"), final: true}
	}
	if generation <= parent {
		err = fieldError("generation", "is %d, not above %d", generation, parent)
		return decision{result: Invalid, err: err, final: true}
	}
	whole := slices.Clone(body)
	if k == Amend {
		if whole, err = merge(r.body, body); err == nil {
			config = new(Config)
			err = json.Unmarshal(whole, config)
		}
		if err != nil {
			return decision{result: Invalid, err: fieldError("", "what results can't be read: %s", err)}
		}
		invariant.That(config.Generation == generation, "what results has the change's generation")
	}
	if err := validate(config); err != nil {
		return decision{result: Invalid, err: err, final: k == Replace}
	}
	return decision{result: Accepted, body: whole, config: config}
}

// Version is the generation in force, 0 if there is none.
func (r *Register) Version() uint64 { return r.version }

// Body is the configuration in force, whole, for Config.Read: the bytes of a Replace as they came, or what
// resulted from an Amend, under that call's generation and parent_version. Nil if there is none; not to be
// changed.
func (r *Register) Body() []byte { return r.body }

// Config is the configuration in force as it was read, nil if there is none; not to be changed.
func (r *Register) Config() *Config { return r.config }

// snapshot is the register's state as it is stored and sent.
type snapshot struct {
	Body   []byte
	Taken  []taken // of programs before there was a window: the last 256
	Window []byte
}

// taken is how such programs kept what was taken.
type taken struct {
	Version uint64
	Digest  [sha256.Size]byte
}

const legacyAcceptedCount = 256

// Snapshot gives the whole register as bytes, by gob. Equal registers give equal bytes within a program.
func (r *Register) Snapshot() []byte {
	s := snapshot{Body: r.body, Window: r.accepted.Bytes()}
	if r.defect == notKept {
		s.Window = nil
	}
	return logentry.Encode(s)
}

// Restore makes the register of a snapshot. What was taken once is not judged again: a later program may
// refuse more, but must not lose what is in force.
func Restore(b []byte) (*Register, error) { return restore(b, logentry.DedupWindowBytes) }

func restore(b []byte, window int) (*Register, error) {
	var s snapshot
	if err := logentry.Decode(b, &s, "read snapshot of the configuration"); err != nil {
		return nil, err
	}
	r := &Register{accepted: logentry.NewDedupWindow(window)}
	if len(s.Taken) == legacyAcceptedCount {
		r.accepted.SetHorizon(s.Taken[0].Version - 1)
	}
	for _, t := range s.Taken {
		r.accepted.Add(t.Version, logentry.Digest(t.Digest[:len(logentry.Digest{})]))
	}
	if s.Window != nil {
		var err error
		if r.accepted, err = logentry.DecodeDedupWindow(s.Window, window); err != nil {
			return nil, errors.Wrap(err, "read snapshot of the configuration")
		}
	}
	if len(s.Body) == 0 {
		return r, nil
	}
	r.config = new(Config)
	if err := json.Unmarshal(s.Body, r.config); err != nil {
		return nil, errors.Wrap(err, "read configuration of a snapshot")
	}
	r.version, r.body = r.config.Generation, s.Body
	return r, nil
}
