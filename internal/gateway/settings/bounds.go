package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/multierr"
)

// Bounds are the times and ratios that a deployment is held to. In the file they are texts, name=value: a time has a unit, ms or s. One
// that the file does not name is as in DefaultBounds. The gateway reads InTouch, ApplyWithin, ShutdownGrace, the figures of retries and
// quotas, and WatchHistory; the others are what it is judged by, and the laboratory checks its runs against them.
type Bounds struct {
	// SeedStale is how far seed_addrs may lag behind the nodes that there are; it is not used here. Default 3s.
	SeedStale time.Duration `bound:"seed_stale"`
	// AddrReuse is the least time after which another backend may have the address of one that is gone. Default 2s.
	AddrReuse time.Duration `bound:"addr_reuse"`
	// InTouch is how long after the last fault a machine counts as in touch again: from then on it is held to the other bounds. By the
	// gateway it is the age of quorum contact from which a node takes no clients. Default 3s.
	InTouch time.Duration `bound:"in_touch"`
	// AckWithin is the time in which a control call is acknowledged. Default 5s.
	AckWithin time.Duration `bound:"ack_within"`
	// CatchUp is the time after a replacement, or the start of a disk's node, after which the next one may be lost. Default 4s.
	CatchUp time.Duration `bound:"catch_up"`
	// BackendDrain is the time after an acknowledged draining after which no node sends a backend new requests. Default 2.5s.
	BackendDrain time.Duration `bound:"drain"`
	// ShutdownGrace is the time between SIGTERM and the end of a process. Default 6s.
	ShutdownGrace time.Duration `bound:"grace"`
	// LossSlack is the time after its arrival in which a request may end without an answer and unseen by any backend. Default 200ms.
	LossSlack time.Duration `bound:"loss_slack"`
	// ApplyWithin is the time after an acknowledged change of configuration after which all nodes in touch serve by it. Default 2.5s.
	ApplyWithin time.Duration `bound:"apply_within"`
	// RevertSlack is how long after a node has answered by a version of the configuration it may still answer by an older one. Default
	// 250ms.
	RevertSlack time.Duration `bound:"revert_slack"`
	// MaxStretch is how long the replicated log may be unsettled for a fault that is to excuse a late configuration; it is not used here.
	// Default 8s.
	MaxStretch time.Duration `bound:"max_stretch"`
	// StrictRevoke is the platform's switch for RevokeWithin; it is not used here. Default false.
	StrictRevoke bool `bound:"strict_revoke"`
	// RevokeWithin is the time in which a key that the configuration lost is refused; it is not used here. Default 5s.
	RevokeWithin time.Duration `bound:"revoke_within"`
	// RetryRatio is how many retries there may be for each first attempt, over all nodes and a RetryWindow. Default 0.2.
	RetryRatio float64 `bound:"retry_ratio"`
	// RetryWindow is the time over which retries are counted. Default 10s.
	RetryWindow time.Duration `bound:"retry_window"`
	// RetryExtra is how many retries there may be in a RetryWindow beside those of RetryRatio. Default 64.
	RetryExtra float64 `bound:"retry_extra"`
	// QuotaWindow is the time over which a tenant's quota is judged. Default 5s.
	QuotaWindow time.Duration `bound:"quota_window"`
	// QuotaExcess is the share by which a tenant's requests may be above its quota in a QuotaWindow. Default 0.1.
	QuotaExcess float64 `bound:"quota_excess"`
	// QuotaMargin is how many requests they may be above it beside that. Default 20.
	QuotaMargin float64 `bound:"quota_margin"`
	// Recovery is the time after the last fault in which all nodes serve again. Default 15s.
	Recovery time.Duration `bound:"recovery"`
	// WatchHistory is the time after which a watch of keys may still resume from a revision that it was given. Default 20s.
	WatchHistory time.Duration `bound:"history"`
	// LockRelease is the time in which a lock whose time has run out is free; it is not used here. Default 1.5s.
	LockRelease time.Duration `bound:"release"`
}

// DefaultBounds are those of the platform's example of a settings file.
func DefaultBounds() Bounds {
	return Bounds{
		SeedStale:     3 * time.Second,
		AddrReuse:     2 * time.Second,
		InTouch:       3 * time.Second,
		AckWithin:     5 * time.Second,
		CatchUp:       4 * time.Second,
		BackendDrain:  2500 * time.Millisecond,
		ShutdownGrace: 6 * time.Second,
		LossSlack:     200 * time.Millisecond,
		ApplyWithin:   2500 * time.Millisecond,
		RevertSlack:   250 * time.Millisecond,
		MaxStretch:    8 * time.Second,
		RevokeWithin:  5 * time.Second,
		RetryRatio:    0.2,
		RetryWindow:   10 * time.Second,
		RetryExtra:    64,
		QuotaWindow:   5 * time.Second,
		QuotaExcess:   0.1,
		QuotaMargin:   20,
		Recovery:      15 * time.Second,
		WatchHistory:  20 * time.Second,
		LockRelease:   1500 * time.Millisecond,
	}
}

// ReadyMaxAge is the age of a node's quorum contact from which it takes no clients: machines without a fault are in touch that long
// after the last event, and have newer contact by then.
func (b Bounds) ReadyMaxAge() time.Duration { return b.InTouch }

// AuthoritativeMaxAge is the age of quorum contact up to which a node answers 401, 404 and 400 by its own state: a change that it may
// lack is to be in force within ApplyWithin. A twenty-fifth of that is left for the answer's way.
func (b Bounds) AuthoritativeMaxAge() time.Duration { return b.ApplyWithin - b.ApplyWithin/25 }

// PartitionedAge is the age of quorum contact from which a node takes itself for partitioned, and others are to be asked rather than
// waited for: half of InTouch, and more than an ordinary election takes (0.4 to 0.8 s without a leader, a few syncs, and a heartbeat's
// way back).
func (b Bounds) PartitionedAge() time.Duration { return b.InTouch / 2 }

// setFromTexts takes texts name=value; names that are not known are passed over. The error has all that are wrong.
func (b *Bounds) setFromTexts(texts []string) (err error) {
	fields := map[string]reflect.Value{}
	bounds := reflect.ValueOf(b).Elem()
	for i := range bounds.NumField() {
		fields[bounds.Type().Field(i).Tag.Get("bound")] = bounds.Field(i)
	}
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			err = multierr.Append(err, fieldError("bounds", errors.Errorf("%q is not name=value", text)))
			continue
		}
		name = strings.TrimSpace(name)
		if field, known := fields[name]; known {
			err = multierr.Append(err, fieldError("bounds."+name, setBoundField(field, strings.TrimSpace(value))))
		}
	}
	return err
}

// setBoundField reads a value into a field of Bounds.
func setBoundField(field reflect.Value, value string) error {
	switch p := field.Addr().Interface().(type) {
	case *time.Duration:
		d, err := parseDuration(value)
		*p = d
		return err
	case *bool:
		if value != "true" && value != "false" {
			return errors.Errorf("%q is neither true nor false", value)
		}
		*p = value == "true"
	case *float64:
		number, err := parseNumber(value, maxNumber)
		if err != nil {
			return errors.Errorf("%q is not a number from 0", value)
		}
		*p = number
	}
	return nil
}

// Numbers are below these. What is larger is a mistake, and could not be kept as a time.
const (
	maxNumber         = 1e12
	maxDurationNumber = 1e9 // in its unit, ms or s
)

// errOutOfRange is a number that is below 0, too large, or none.
var errOutOfRange = errors.New("out of range")

// parseNumber reads a number from 0 to below a bound.
func parseNumber(text string, bound float64) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if !(number >= 0 && number < bound) { // not NaN either
		return 0, errOutOfRange
	}
	return number, nil
}

// parseDuration reads a time as the platform writes it: a number and its unit, ms or s.
func parseDuration(text string) (time.Duration, error) {
	unit, digits, ok := time.Millisecond, "", false
	if digits, ok = strings.CutSuffix(text, "ms"); !ok {
		unit = time.Second
		digits, ok = strings.CutSuffix(text, "s")
	}
	number, err := parseNumber(digits, maxDurationNumber)
	if err != nil || !ok {
		return 0, errors.Errorf("%q is not a time such as 1500ms or 2.5s", text)
	}
	return time.Duration(number * float64(unit)), nil
}
