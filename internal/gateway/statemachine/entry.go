package statemachine

import (
	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
)

// Kind identifies what an entry changes. The first byte of an entry in the log is its kind.
type Kind byte

// The kinds of entries. The bodies of KindReplaceConfig and KindAmendConfig are JSON in the format of the control API.
const (
	KindReplaceConfig   Kind = 'r' // the complete configuration
	KindAmendConfig     Kind = 'a' // named items of the configuration
	KindAssignSlot      Kind = 's' // a node requests a slot: see EncodeAssignSlotEntry
	KindRollout         Kind = 'u' // a rollout.Entry: a command to a roll-out, or a health verdict on one
	KindBootstrapGroups Kind = 'f' // the coordination groups are bootstrapped: see EncodeBootstrapGroupsBody
)

// EncodeEntry returns an entry with the given kind and body.
func EncodeEntry(kind Kind, body []byte) []byte { return append([]byte{byte(kind)}, body...) }

// EncodeAssignSlotEntry returns the entry with which a node requests a slot. If the node has a slot, the entry updates the record of
// that slot.
func EncodeAssignSlotEntry(holder membership.SlotHolder) []byte {
	return EncodeEntry(KindAssignSlot, logentry.Encode(toStoredSlot(holder)))
}

// EncodeBootstrapGroupsBody returns the body of the entry that bootstraps the coordination groups. Every group is bootstrapped on all
// of the given disks.
func EncodeBootstrapGroupsBody(founders []membership.Founder) []byte {
	return logentry.Encode(toStoredFounders(founders))
}
