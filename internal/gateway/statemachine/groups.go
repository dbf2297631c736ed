package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// Founders are the disks that the coordination groups began with; nil if they have not begun.
func (m *Machine) Founders() []membership.Founder { return m.founders }

// bootstrapGroups takes only the first such entry: groups that began twice, on other disks, would know nothing of each other.
func (m *Machine) bootstrapGroups(body []byte) (routing.Result, error) {
	var stored []storedFounder
	if err := logentry.Decode(body, &stored, "groups"); err != nil {
		return routing.Invalid, err
	}
	if len(stored) == 0 {
		return routing.Invalid, ErrNoGroupDisks
	}
	if len(m.founders) > 0 {
		return routing.Duplicate, nil
	}
	m.founders = foundersOf(stored)
	return routing.Accepted, nil
}
