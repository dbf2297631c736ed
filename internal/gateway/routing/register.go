package routing

import (
	"encoding/json"
	"slices"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/invariant"
)

// Kind is the kind of a call. A call is a request of an operator to change the configuration.
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
	Conflict                // 412: the parent version that the call names is not the version in force
	Invalid                 // 400: the call is malformed or breaks a rule
	Ambiguous               // 503: the call may have been accepted earlier, but the digests of its generation are no longer stored
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
	accepted *logentry.DedupWindow // the window of accepted calls: the digests of the last accepted calls, by version

	// lastDigest is the digest of the call that was decided last, and lastDecision is the decision on this call. A node decides a call
	// before it applies the call, so Apply can reuse the decision. lastDecision is nil if no call was decided since the last change of
	// the register.
	lastDigest   logentry.Digest
	lastDecision *decision

	knobs TestingKnobs
}

// decision is the decision on a call in the current state of the register.
type decision struct {
	result Result
	err    error
	final  bool    // every later state of the register gives the same result
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

// DecideFinal returns the result and the error of Decide. The result is final if every later state of the register gives the same
// result. A node whose register lags behind the replicated log may answer a call from this register only if the result is final.
func (r *Register) DecideFinal(k Kind, body []byte) (result Result, err error, final bool) {
	d := r.cachedDecision(callDigest(k, body), k, body)
	return d.result, d.err, d.final || r.knobs.trustStaleRejections() && d.result != Accepted
}

// Apply decides a call and puts its configuration into force if the call is accepted. Apply returns the result
// and the error that Decide would have returned. Apply copies the body.
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

// cachedDecision returns the decision on a call. If lastDecision is the decision on the same call, cachedDecision returns lastDecision.
// If not, cachedDecision evaluates the call and stores the new decision.
func (r *Register) cachedDecision(digest logentry.Digest, k Kind, body []byte) *decision {
	if r.lastDecision == nil || r.lastDigest != digest {
		d := r.evaluateCall(digest, k, body)
		r.lastDigest, r.lastDecision = digest, &d
	}
	return r.lastDecision
}

// evaluateCall returns the decision on a call in the current state.
func (r *Register) evaluateCall(d logentry.Digest, k Kind, body []byte) decision {
	// The window of accepted calls has the digest, so a call with the same kind and the same bytes was accepted. The bytes contain the
	// generation, and each generation is accepted at most once. This call therefore repeats the accepted call.
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

// checkHorizon returns a *FieldError if the generation of a call is at or below the horizon. The horizon is the highest version whose
// digest was dropped from the window of accepted calls. A call at or below the horizon may repeat an accepted call whose digest was
// dropped. Such a call is not validated: an earlier program version may have accepted the call, and this version may have stricter
// validation. A body whose generation cannot be read passes this check.
func (r *Register) checkHorizon(body []byte) error {
	horizon := r.accepted.Horizon()
	if horizon == 0 || r.knobs.ignoreHorizon() {
		return nil
	}
	var call struct{ Generation uint64 }
	if json.Unmarshal(body, &call); call.Generation == 0 || call.Generation > horizon {
		return nil
	}
	return fieldError("generation",
		"is %d; the call was not applied now, but calls of generation %d and below may have been accepted earlier: read the configuration in force",
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

// mergeAmendment returns the complete configuration that results from an Amend, both as JSON and in parsed form.
// mergeAmendment does not validate the configuration.
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

// Version returns the generation of the configuration in force, or 0 if there is none.
func (r *Register) Version() uint64 { return r.version }

// Body returns the complete configuration in force as JSON, for the call Config.Read. After a Replace it is the body of the call,
// byte for byte. After an Amend it is the merged configuration with the generation and parent_version of the call. Body returns nil
// if there is no configuration. Callers must not modify the result.
func (r *Register) Body() []byte { return r.body }

// Config returns the parsed configuration in force, or nil if there is none. Callers must not modify the result.
func (r *Register) Config() *Config { return r.config }
