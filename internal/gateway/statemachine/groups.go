package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// Founders returns the nodes on whose disks the coordination groups were bootstrapped, or nil if the groups have not been
// bootstrapped yet. The coordination groups are the replicated logs of package groups.
func (m *Machine) Founders() []membership.Founder { return m.founders }

// bootstrapGroups records the nodes on whose disks the coordination groups are bootstrapped. It returns Duplicate and changes nothing
// if the groups have been bootstrapped before. If the groups were bootstrapped twice, on different disks, there would be two
// independent sets of groups.
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
