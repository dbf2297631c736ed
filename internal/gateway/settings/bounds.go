package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/multierr"
)

// Bounds are the time limits and ratios that a deployment must meet. In the file each bound is a text of the form name=value, and a
// duration has the unit ms or s. A bound that the file omits has its value in DefaultBounds. The gateway reads InTouch, ApplyWithin,
// ShutdownGrace, WatchHistory, and the bounds of retries and quotas. The test laboratory (internal/lab) checks its runs against the other
// bounds, except for those marked as unused.
//
// A machine is in touch if it has had no fault for at least InTouch. The bounds apply only to machines in touch.
type Bounds struct {
	// SeedStale is the maximum delay after which a change of the nodes appears in seed_addrs. Unused. Default 3s.
	SeedStale time.Duration `bound:"seed_stale"`
	// AddrReuse is the minimum time between the end of a backend and the use of its address by another backend. Default 2s.
	AddrReuse time.Duration `bound:"addr_reuse"`
	// InTouch is the time after its last fault from which a machine counts as in touch again and must meet the other bounds. A node
	// whose last quorum contact is at least InTouch old accepts no clients (see ReadyMaxAge). Default 3s.
	InTouch time.Duration `bound:"in_touch"`
	// AckWithin is the maximum time until a control call is acknowledged. Default 5s.
	AckWithin time.Duration `bound:"ack_within"`
	// CatchUp is the minimum time between the replacement of a machine, or the start of a node with a disk, and the loss of the next
	// machine. Default 4s.
	CatchUp time.Duration `bound:"catch_up"`
	// BackendDrain is the maximum time from the acknowledgement of a backend's drain until no node sends new requests to the backend.
	// Default 2.5s.
	BackendDrain time.Duration `bound:"drain"`
	// ShutdownGrace is the time between SIGTERM and the end of a process. Default 6s.
	ShutdownGrace time.Duration `bound:"grace"`
	// LossSlack is the maximum time after its arrival at which a request may end without a response and without having reached a backend.
	// Default 200ms.
	LossSlack time.Duration `bound:"loss_slack"`
	// ApplyWithin is the maximum time from the acknowledgement of a configuration change until all nodes in touch use the changed
	// configuration. Default 2.5s.
	ApplyWithin time.Duration `bound:"apply_within"`
	// RevertSlack is the time for which a node may still respond according to an older configuration version after it has responded
	// according to a newer version. Default 250ms.
	RevertSlack time.Duration `bound:"revert_slack"`
	// MaxStretch limits the faults that excuse a late configuration. Such a fault may stop commits in the replicated log for at most
	// MaxStretch. Unused. Default 8s.
	MaxStretch time.Duration `bound:"max_stretch"`
	// StrictRevoke is true if the platform requires RevokeWithin. Unused. Default false.
	StrictRevoke bool `bound:"strict_revoke"`
	// RevokeWithin is the maximum time until an API key that was removed from the configuration is rejected. Unused. Default 5s.
	RevokeWithin time.Duration `bound:"revoke_within"`
	// RetryRatio is the maximum number of retries per first attempt, over all nodes and within a RetryWindow. Default 0.2.
	RetryRatio float64 `bound:"retry_ratio"`
	// RetryWindow is the time over which retries are counted. Default 10s.
	RetryWindow time.Duration `bound:"retry_window"`
	// RetryExtra is the number of retries that are allowed within a RetryWindow in addition to RetryRatio. Default 64.
	RetryExtra float64 `bound:"retry_extra"`
	// QuotaWindow is the time over which the requests of a tenant are compared with its quota. Default 5s.
	QuotaWindow time.Duration `bound:"quota_window"`
	// QuotaExcess is the share of its quota by which a tenant may exceed the quota within a QuotaWindow. Default 0.1.
	QuotaExcess float64 `bound:"quota_excess"`
	// QuotaMargin is the number of requests by which a tenant may exceed its quota within a QuotaWindow, in addition to QuotaExcess. Default
	// 20.
	QuotaMargin float64 `bound:"quota_margin"`
	// Recovery is the maximum time from the last fault until all nodes serve requests again. Default 15s.
	Recovery time.Duration `bound:"recovery"`
	// WatchHistory is the time for which a watch of keys can resume from a revision that it received. Default 20s.
	WatchHistory time.Duration `bound:"history"`
	// LockRelease is the maximum time between the expiry of a lock and its release. Unused. Default 1.5s.
	LockRelease time.Duration `bound:"release"`
}

// DefaultBounds returns the bounds of the example settings file of the platform.
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

// ReadyMaxAge returns the age of a node's last quorum contact from which the node accepts no clients. Quorum contact is
// the last time when a majority of the replicas is known to have followed the leader. The age equals InTouch: a machine counts as in touch
// once InTouch has passed since its last fault, and has had newer quorum contact by then.
func (b Bounds) ReadyMaxAge() time.Duration { return b.InTouch }

// AuthoritativeMaxAge returns the age of a node's last quorum contact up to which the node answers 401, 404 and 400 from its own
// configuration. The node may lack a configuration change that was acknowledged after the last quorum contact, and must use this change
// within ApplyWithin. The result is 1/25 of ApplyWithin shorter than ApplyWithin. The difference is left for the transmission of the response.
func (b Bounds) AuthoritativeMaxAge() time.Duration { return b.ApplyWithin - b.ApplyWithin/25 }

// PartitionedAge returns the age of a node's last quorum contact from which the node considers itself partitioned. A caller should then use
// another node instead of waiting. The age is half of InTouch. An ordinary election takes less time than this age: 0.4 to 0.8 s without a
// leader, a few disk syncs, and the return of a heartbeat.
func (b Bounds) PartitionedAge() time.Duration { return b.InTouch / 2 }

// setFromTexts sets bounds from texts of the form name=value. Unknown names are ignored. The error combines a FieldError for each invalid
// text.
func (b *Bounds) setFromTexts(texts []string) (err error) {
	fields := map[string]reflect.Value{}
	bounds := reflect.ValueOf(b).Elem()
	for i := range bounds.NumField() {
		fields[bounds.Type().Field(i).Tag.Get("bound")] = bounds.Field(i)
	}
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			err = multierr.Append(err, fieldError("bounds", errors.Errorf("%q does not have the form name=value", text)))
			continue
		}
		name = strings.TrimSpace(name)
		if field, known := fields[name]; known {
			err = multierr.Append(err, fieldError("bounds."+name, setBoundField(field, strings.TrimSpace(value))))
		}
	}
	return err
}

// setBoundField parses a value and stores it in a field of Bounds.
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
			return errors.Errorf("%q is not a number of at least 0 and below 1e12", value)
		}
		*p = number
	}
	return nil
}

// Exclusive upper limits of numbers. A larger number is a mistake, and a larger duration would overflow time.Duration.
const (
	maxNumber         = 1e12
	maxDurationNumber = 1e9 // in the unit of the duration, ms or s
)

// errOutOfRange is the error for a number that is negative, not below the upper limit, or NaN.
var errOutOfRange = errors.New("number is negative, not below the upper limit, or NaN")

// parseNumber parses a number that must be at least 0 and below a bound.
func parseNumber(text string, bound float64) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if !(number >= 0 && number < bound) { // also true for NaN
		return 0, errOutOfRange
	}
	return number, nil
}

// parseDuration parses a duration in the notation of the platform: a number with the unit ms or s.
func parseDuration(text string) (time.Duration, error) {
	unit, digits, ok := time.Millisecond, "", false
	if digits, ok = strings.CutSuffix(text, "ms"); !ok {
		unit = time.Second
		digits, ok = strings.CutSuffix(text, "s")
	}
	number, err := parseNumber(digits, maxDurationNumber)
	if err != nil || !ok {
		return 0, errors.Errorf("%q is not a duration such as 1500ms or 2.5s", text)
	}
	return time.Duration(number * float64(unit)), nil
}
