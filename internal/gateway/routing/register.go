package routing

import (
	"encoding/json"
	"slices"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/invariant"
)

// Kind tells the two calls that change the configuration.
type Kind int

// The calls: a complete configuration, or a change of named items.
const (
	Replace Kind = iota
	Amend
)

// Result is what becomes of a call.
type Result int

// The results, with the status that each stands for.
const (
	Accepted  Result = iota // 200: in force now
	Duplicate               // 200: these bytes were accepted before
	Conflict                // 412: another version is current
	Invalid                 // 400
	Ambiguous               // 503: it may have been accepted so long ago that its digest is dropped
)

// String gives the name of a result in the log.
func (r Result) String() string {
	return [...]string{"taken", "already", "conflict", "invalid", "unclear"}[r]
}

func callDigest(k Kind, body []byte) logentry.Digest { return logentry.DigestOf([]byte{byte(k)}, body) }

// Register is the configuration in force, folded from the replicated log of calls: members that apply the same calls in the
// same order have equal registers. It is not safe for concurrent use.
type Register struct {
	version  uint64
	body     []byte
	config   *Config
	accepted *logentry.DedupWindow // by version

	// The last call decided since the register changed: a node decides a call and then applies it.
	lastDigest   logentry.Digest
	lastDecision *decision

	knobs TestingKnobs
}

// decision is what becomes of a call in the register's present state.
type decision struct {
	result Result
	err    error
	final  bool   // it will be so in every later state
	body   []byte // these only where accepted
	config *Config
}

// NewRegister returns a register in which no configuration is in force.
func NewRegister() *Register {
	return &Register{accepted: logentry.NewDedupWindow(logentry.DedupWindowBytes)}
}

// Decide tells what would become of a call now, and changes nothing. The error is nil where it would be accepted or was
// before, else a *FieldError.
func (r *Register) Decide(k Kind, body []byte) (Result, error) {
	d := r.cachedDecision(callDigest(k, body), k, body)
	return d.result, d.err
}

// DecideFinal is as Decide, and tells besides whether the result is the same in every later state: a node that is behind may
// answer by that, and by nothing else.
func (r *Register) DecideFinal(k Kind, body []byte) (result Result, err error, final bool) {
	d := r.cachedDecision(callDigest(k, body), k, body)
	return d.result, d.err, d.final || r.knobs.trustStaleRejections() && d.result != Accepted
}

// Apply carries out a call, as Decide tells it. The body is copied.
func (r *Register) Apply(k Kind, body []byte) (Result, error) {
	digest := callDigest(k, body)
	d := r.cachedDecision(digest, k, body)
	if d.result != Accepted {
		return d.result, d.err
	}
	invariant.Assert(d.config.Generation > r.version, "versions of the configuration go up")
	r.version, r.body, r.config = d.config.Generation, d.body, d.config
	r.accepted.Add(r.version, digest)
	r.lastDecision = nil
	return Accepted, nil
}

func (r *Register) cachedDecision(digest logentry.Digest, k Kind, body []byte) *decision {
	if r.lastDecision == nil || r.lastDigest != digest {
		d := r.evaluateCall(digest, k, body)
		r.lastDigest, r.lastDecision = digest, &d
	}
	return r.lastDecision
}

func (r *Register) evaluateCall(d logentry.Digest, k Kind, body []byte) decision {
	// The digest covers the generation that the body names.
	if r.accepted.Has(d) {
		return decision{result: Duplicate, final: true}
	}
	if err := r.checkHorizon(body); err != nil {
		return decision{result: Ambiguous, err: err, final: true}
	}
	c, err := readChange(k, body)
	if err != nil {
		return decision{result: Invalid, err: err, final: true}
	}
	if c.parent != r.version {
		return decision{result: Conflict, err: fieldError("parent_version", "is %d, but %d is current", c.parent, r.version)}
	}
	if err = c.checkGeneration(); err != nil {
		return decision{result: Invalid, err: err, final: true}
	}
	complete, config := slices.Clone(body), c.config
	if k == Amend {
		if complete, config, err = r.mergeAmendment(body); err != nil {
			return decision{result: Invalid, err: err}
		}
		invariant.Assert(config.Generation == c.generation, "what results has the change's generation")
	}
	if err = validate(config); err != nil {
		return decision{result: Invalid, err: err, final: k == Replace}
	}
	return decision{result: Accepted, body: complete, config: config}
}

// checkHorizon rejects a call at or below the horizon of the window: it may have been accepted. It is not read any
// further, since a later version may reject more.
func (r *Register) checkHorizon(body []byte) error {
	horizon := r.accepted.Horizon()
	if horizon == 0 || r.knobs.ignoreHorizon() {
		return nil
	}
	var call struct{ Generation uint64 }
	if json.Unmarshal(body, &call); call.Generation == 0 || call.Generation > horizon {
		return nil
	}
	return fieldError("generation", "is %d, and of %d and below it is not known any more what was taken: read what is in force",
		call.Generation, horizon)
}

// change is what is read of a call by itself.
type change struct {
	generation uint64
	parent     uint64
	config     *Config // of a Replace; not validated yet
}

func readChange(k Kind, body []byte) (change, error) {
	switch k {
	case Replace:
		config := new(Config)
		if err := decodeBody(body, config); err != nil {
			return change{}, err
		}
		return change{config.Generation, config.ParentVersion, config}, nil
	case Amend:
		a, err := ReadAmendment(body)
		if err != nil {
			return change{}, err
		}
		return change{a.Generation, a.ParentVersion, nil}, nil
	}
	return change{}, fieldError("", "no such call")
}

// checkGeneration tells whether a call names a version above the one that it builds on.
func (c *change) checkGeneration() error {
	switch {
	case c.generation == 0:
		return fieldError("generation", "missing")
	case c.generation <= c.parent:
		return fieldError("generation", "is %d, not above %d", c.generation, c.parent)
	}
	return nil
}

// mergeAmendment gives the complete configuration that results from an Amend.
func (r *Register) mergeAmendment(body []byte) ([]byte, *Config, error) {
	complete, err := mergeChange(r.body, body)
	if err != nil {
		return nil, nil, fieldError("", "what results can't be read: %s", err)
	}
	config := new(Config)
	if err := json.Unmarshal(complete, config); err != nil {
		return nil, nil, fieldError("", "what results can't be read: %s", err)
	}
	return complete, config, nil
}

// Version is the generation in force, 0 if there is none.
func (r *Register) Version() uint64 { return r.version }

// Body is the complete configuration in force, for Config.Read: the bytes of a Replace as they came, or what resulted from
// an Amend, under that call's generation and parent_version. Nil if there is none; not to be changed.
func (r *Register) Body() []byte { return r.body }

// Config is the configuration in force as it was read, nil if there is none; not to be changed.
func (r *Register) Config() *Config { return r.config }
