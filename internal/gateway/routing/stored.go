package routing

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
)

// snapshot is the register as it is stored and sent, by gob: the names of its fields, and of taken's, are part of that.
type snapshot struct {
	Body   []byte
	Taken  []taken // of versions before there was a window: the last legacyAcceptedCount
	Window []byte
}

// taken is an accepted call as such versions kept it.
type taken struct {
	Version uint64
	Digest  [sha256.Size]byte
}

// legacyAcceptedCount is how many accepted calls such versions kept. Where a snapshot has so many, there may have been
// more.
const legacyAcceptedCount = 256

// Snapshot gives the register as bytes, by gob. Equal registers give equal bytes within a program.
func (r *Register) Snapshot() []byte {
	s := snapshot{Body: r.body, Window: r.accepted.Bytes()}
	if r.knobs.omitWindow() {
		s.Window = nil
	}
	return logentry.Encode(s)
}

// Restore makes the register of a snapshot. What was accepted once is not checked again: a later version may reject
// more, but must not lose what is in force.
func Restore(b []byte) (*Register, error) { return restoreWithWindow(b, logentry.DedupWindowBytes) }

// restoreWithWindow is Restore with a window of so many bytes.
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
		return nil, errors.Wrap(err, "read configuration of a snapshot")
	}
	r.version, r.body = r.config.Generation, s.Body
	return r, nil
}

// dedupWindow gives the window of accepted calls, in whichever form the snapshot has it.
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
