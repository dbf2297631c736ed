// Package routing holds the configurations of the gateway: what an operator sends is read, checked and folded from the
// replicated log of changes into the one in force, and a Table is made of it that nodes route by.
//
// # Terms
//
//   - Configuration: hosts with routes, services, tenants with API keys, and limits. Its types are generated from
//     api/control.yaml.
//   - Version, or generation: the number that an operator gives a configuration; versions in force go up.
//   - Replace: a call with a complete configuration. Amend: a call that removes and upserts named items of the one in
//     force. Both name the version that they build on, the parent.
//   - Register: the configuration in force, with a window of the calls that were accepted.
//   - Horizon: the version up to which that window has dropped digests.
//   - Table: the configuration in force with all defaults filled in, indexed for look-ups.
//
// # Guarantees
//
//   - Members that apply the same calls in the same order have equal registers.
//   - Of two different calls that build on one version at most one is accepted.
//   - The same bytes again are a Duplicate, as long as the window has their digest. At or below the horizon a call gets
//     Ambiguous: it may have been accepted.
//   - What was sent is kept as it was written: fields that this version does not know, the order of fields and the form
//     of numbers come back unchanged.
//   - An error of a body is a *FieldError with the path of the field, such as vhosts[0].path_list[2].variant.
//   - A snapshot's configuration is not checked again: a version that rejects more must not lose what is in force.
//
// # What the package must not do
//
// It does no I/O, reads no clock and draws nothing at random. A check that an earlier version lacks goes before the
// proposal, see CheckDeadlines: members of both versions must apply an entry of the log alike.
package routing

//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/routing.yaml ../../../api/control.yaml

// The package comment that the generator writes goes, so that the one above stands alone.
//go:generate sed -i -e 1,2d -e "s/DO NOT EDIT[.]/&\\n/" wire.gen.go
