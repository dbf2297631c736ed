package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// Founders returns the disks with which the coordination groups were bootstrapped, or nil if that has not happened yet.
func (m *Machine) Founders() []membership.Founder { return m.founders }

// bootstrapGroups applies only the first entry of its kind. If the groups were bootstrapped twice, on different disks, the two
// sets of groups would know nothing of each other.
func (m *Machine) bootstrapGroups(body []byte) (routing.Result, error) {
	var stored []storedFounder
	if err := logentry.Decode(body, &stored, "read bootstrap entry of the coordination groups"); err != nil {
		return routing.Invalid, err
	}
	if len(stored) == 0 {
		return routing.Invalid, ErrNoGroupDisks
	}
	if len(m.founders) > 0 {
		return routing.Duplicate, nil
	}
	m.founders = fromStoredFounders(stored)
	return routing.Accepted, nil
}
