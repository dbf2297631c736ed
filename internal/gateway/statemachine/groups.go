package statemachine

import (
	"bytes"
	"encoding/gob"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// BootstrapGroupsEntry words that the coordination groups begin with these disks, all of them with all.
func BootstrapGroupsEntry(founders []membership.Founder) []byte {
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(founders) // of numbers and texts: it can't fail
	return b.Bytes()
}

// Founders are the disks that the coordination groups began with; nil: they have not begun.
func (m *Machine) Founders() []membership.Founder { return m.founders }

// bootstrapGroups takes the first founding, and no other: the groups of two would know nothing of each other.
func (m *Machine) bootstrapGroups(body []byte) (routing.Result, error) {
	var founders []membership.Founder
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&founders); err != nil {
		return routing.Invalid, errors.Wrap(err, "groups")
	}
	if len(founders) == 0 {
		return routing.Invalid, errors.New("groups without a disk")
	}
	if len(m.founders) > 0 {
		return routing.Duplicate, nil
	}
	m.founders = founders
	return routing.Accepted, nil
}
