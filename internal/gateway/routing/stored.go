package routing

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
)

// snapshot is the stored form of a register, encoded by gob. The field names of snapshot and taken are part of the format and must not
// change.
type snapshot struct {
	Body   []byte  // the complete configuration in force, empty if there is none
	Taken  []taken // the last accepted calls; only in snapshots of program versions without a window of accepted calls
	Window []byte  // the window of accepted calls; nil in snapshots of program versions without this window
}

// taken is an accepted call in a snapshot of a program version that had no window of accepted calls.
type taken struct {
	Version uint64
	Digest  [sha256.Size]byte
}

// legacyAcceptedCount is the number of accepted calls that program versions without a window kept. A snapshot
// with this many calls may lack earlier accepted calls.
const legacyAcceptedCount = 256

// Snapshot returns the register, encoded by gob. Within one process, equal registers have equal snapshots.
func (r *Register) Snapshot() []byte {
	s := snapshot{Body: r.body, Window: r.accepted.Bytes()}
	if r.knobs.omitWindow() {
		s.Window = nil
	}
	return logentry.Encode(s)
}

// Restore returns the register of a snapshot. It does not validate the configuration. A later program version may reject more, but must
// not lose the configuration in force.
func Restore(b []byte) (*Register, error) { return restoreWithWindow(b, logentry.DedupWindowBytes) }

// restoreWithWindow returns the register of a snapshot, with a window of accepted calls of at most maxWindowBytes.
func restoreWithWindow(b []byte, maxWindowBytes int) (*Register, error) {
	var s snapshot
	if err := logentry.Decode(b, &s, "read snapshot of the configuration"); err != nil {
		return nil, err
	}
	accepted, err := s.dedupWindow(maxWindowBytes)
	if err != nil {
		return nil, err
	}
	r := &Register{accepted: accepted}
	if len(s.Body) == 0 {
		return r, nil
	}
	r.config = new(Config)
	if err := json.Unmarshal(s.Body, r.config); err != nil {
		return nil, errors.Wrap(err, "parse configuration of a snapshot")
	}
	r.version, r.body = r.config.Generation, s.Body
	return r, nil
}

// dedupWindow returns the window of accepted calls, from either form of snapshot.
func (s *snapshot) dedupWindow(maxBytes int) (*logentry.DedupWindow, error) {
	if s.Window != nil {
		window, err := logentry.DecodeDedupWindow(s.Window, maxBytes)
		if err != nil {
			return nil, errors.Wrap(err, "read snapshot of the configuration")
		}
		return window, nil
	}
	window := logentry.NewDedupWindow(maxBytes)
	if len(s.Taken) == legacyAcceptedCount {
		window.SetHorizon(s.Taken[0].Version - 1)
	}
	for _, t := range s.Taken {
		window.Add(t.Version, logentry.Digest(t.Digest[:len(logentry.Digest{})]))
	}
	return window, nil
}
