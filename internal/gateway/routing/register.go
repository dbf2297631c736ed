package routing

import (
	"encoding/json"
	"slices"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/invariant"
)

// Kind is the kind of a call that changes the configuration.
type Kind int

// The kinds of calls.
const (
	Replace Kind = iota // sets a complete configuration
	Amend               // removes and upserts named items of the configuration in force
)

// Result is the result of a call.
type Result int

// The results of a call, with the status code that the operator gets.
const (
	Accepted  Result = iota // 200: the call is accepted, and its configuration comes into force
	Duplicate               // 200: a call with the same bytes was accepted before
	Conflict                // 412: the parent is not the version in force
	Invalid                 // 400: the call is malformed or breaks a rule
	Ambiguous               // 503: the call may have been accepted, but its digest would no longer be in the window
)

// String returns the name of the result in log lines.
func (r Result) String() string {
	return [...]string{"taken", "already", "conflict", "invalid", "unclear"}[r]
}

// callDigest returns the digest of a call. A Replace and an Amend with the same body have different digests.
func callDigest(k Kind, body []byte) logentry.Digest { return logentry.DigestOf([]byte{byte(k)}, body) }

// Register holds the configuration in force, which results from the calls in the replicated log. Members of the cluster that apply
// the same calls in the same order have equal registers. A Register is not safe for concurrent use.
type Register struct {
	version  uint64
	body     []byte
	config   *Config
	accepted *logentry.DedupWindow // digests of accepted calls, by version

	// The digest and the decision of the last call decided since the register changed. A node decides a call and then applies it, so
	// that Apply can reuse the decision. lastDecision is nil if no call was decided since then.
	lastDigest   logentry.Digest
	lastDecision *decision

	knobs TestingKnobs
}

// decision is the decision on a call in the current state of the register.
type decision struct {
	result Result
	err    error
	final  bool    // every later state gives the same result
	body   []byte  // the complete configuration as JSON; nil unless the call is accepted
	config *Config // the parsed body; nil unless the call is accepted
}

// NewRegister returns a register in which no configuration is in force.
func NewRegister() *Register {
	return &Register{accepted: logentry.NewDedupWindow(logentry.DedupWindowBytes)}
}

// Decide returns the result that Apply would return for a call, without applying the call. The error is nil if the result is
// Accepted or Duplicate, and a *FieldError otherwise.
func (r *Register) Decide(k Kind, body []byte) (Result, error) {
	d := r.cachedDecision(callDigest(k, body), k, body)
	return d.result, d.err
}

// DecideFinal returns the same as Decide, and whether every later state gives the same result. A node that lags behind the replicated
// log may answer a call from its own state only if the result is final.
func (r *Register) DecideFinal(k Kind, body []byte) (result Result, err error, final bool) {
	d := r.cachedDecision(callDigest(k, body), k, body)
	return d.result, d.err, d.final || r.knobs.trustStaleRejections() && d.result != Accepted
}

// Apply decides a call and puts its configuration into force if the call is accepted. It returns the same as Decide. The body is
// copied.
func (r *Register) Apply(k Kind, body []byte) (Result, error) {
	digest := callDigest(k, body)
	d := r.cachedDecision(digest, k, body)
	if d.result != Accepted {
		return d.result, d.err
	}
	invariant.Assert(d.config.Generation > r.version, "generation of an accepted configuration is above the version in force")
	r.version, r.body, r.config = d.config.Generation, d.body, d.config
	r.accepted.Add(r.version, digest)
	r.lastDecision = nil
	return Accepted, nil
}

// cachedDecision returns lastDecision if it is about the same call. Otherwise it evaluates the call and stores the decision.
func (r *Register) cachedDecision(digest logentry.Digest, k Kind, body []byte) *decision {
	if r.lastDecision == nil || r.lastDigest != digest {
		d := r.evaluateCall(digest, k, body)
		r.lastDigest, r.lastDecision = digest, &d
	}
	return r.lastDecision
}

// evaluateCall returns the decision on a call in the current state.
func (r *Register) evaluateCall(d logentry.Digest, k Kind, body []byte) decision {
	// A digest in the window identifies one accepted call, since the digest covers the generation that the body names.
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
		invariant.Assert(config.Generation == c.generation, "result of an Amend has the generation of the call")
	}
	if err = validate(config); err != nil {
		return decision{result: Invalid, err: err, final: k == Replace}
	}
	return decision{result: Accepted, body: complete, config: config}
}

// checkHorizon returns a *FieldError if the generation of a call is at or below the horizon, since the call may have been accepted.
// Such a call is not validated, since this program version may reject more than the version that accepted the call. A body whose
// generation cannot be read passes this check.
func (r *Register) checkHorizon(body []byte) error {
	horizon := r.accepted.Horizon()
	if horizon == 0 || r.knobs.ignoreHorizon() {
		return nil
	}
	var call struct{ Generation uint64 }
	if json.Unmarshal(body, &call); call.Generation == 0 || call.Generation > horizon {
		return nil
	}
	return fieldError("generation", "is %d; calls of generation %d and below may have been accepted: read the configuration in force",
		call.Generation, horizon)
}

// change holds the fields of a call that can be parsed without the state of the register.
type change struct {
	generation uint64
	parent     uint64
	config     *Config // the configuration of a Replace, not validated yet; nil for an Amend
}

// readChange parses a call. It validates the items of an Amend, but not the configuration of a Replace.
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
	return change{}, fieldError("", "unknown kind of call")
}

// checkGeneration returns a *FieldError if the generation of a call is missing or not above its parent.
func (c *change) checkGeneration() error {
	switch {
	case c.generation == 0:
		return fieldError("generation", "missing")
	case c.generation <= c.parent:
		return fieldError("generation", "is %d, not above parent_version %d", c.generation, c.parent)
	}
	return nil
}

// mergeAmendment returns the complete configuration that results from an Amend, as JSON and parsed. The configuration is not
// validated.
func (r *Register) mergeAmendment(body []byte) ([]byte, *Config, error) {
	complete, err := mergeChange(r.body, body)
	if err != nil {
		return nil, nil, fieldError("", "merge of the change into the configuration in force failed: %s", err)
	}
	config := new(Config)
	if err := json.Unmarshal(complete, config); err != nil {
		return nil, nil, fieldError("", "configuration that results from the change cannot be parsed: %s", err)
	}
	return complete, config, nil
}

// Version returns the generation of the configuration in force, 0 if there is none.
func (r *Register) Version() uint64 { return r.version }

// Body returns the complete configuration in force as JSON, for the call Config.Read. After a Replace it is the body of the call,
// byte for byte. After an Amend it is the merged configuration with the generation and parent_version of the call. Body returns nil
// if there is no configuration. Callers must not modify the result.
func (r *Register) Body() []byte { return r.body }

// Config returns the parsed configuration in force, nil if there is none. Callers must not modify the result.
func (r *Register) Config() *Config { return r.config }
