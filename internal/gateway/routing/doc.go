// Package routing holds the configuration of the gateway. It parses and validates the configurations and changes that operators
// send. A Register applies them in the order of the replicated log. A Table indexes the configuration in force, and nodes route
// requests by the table.
//
// # Terms
//
//   - Configuration: hosts with routes, services, tenants with API keys, and limits. The types of a configuration are generated
//     from api/control.yaml.
//   - Version, or generation: the number that an operator gives a configuration. Each configuration that comes into force has a
//     higher version than the previous configuration.
//   - Call: a request of an operator to change the configuration, by Replace or Amend.
//   - Replace: a call with a complete configuration.
//   - Amend: a call that removes and upserts named items of the configuration in force.
//   - Parent: the version that a call builds on. Each call names its parent.
//   - Register: the state machine that holds the configuration in force and a window of accepted calls.
//   - Window of accepted calls: the digests of the calls that were accepted last, with their versions. It detects duplicates.
//   - Horizon: the highest version whose digest was dropped from the window, 0 if none was dropped.
//   - Table: the configuration in force with all defaults filled in, indexed for look-ups.
//
// # Guarantees
//
//   - Members of the cluster that apply the same calls in the same order have equal registers.
//   - At most one of several different calls with the same parent is accepted.
//   - A call that repeats the bytes of an accepted call is a Duplicate, as long as the window has the digest of these bytes.
//     A call at or below the horizon whose digest is not in the window is Ambiguous, since it may have been accepted.
//   - A configuration is kept as the operator wrote it. Unknown fields, the order of fields and the notation of numbers are
//     returned unchanged.
//   - An error in the body of a call is a *FieldError with the path of the field, such as vhosts[0].path_list[2].variant.
//   - Restore does not validate the configuration of a snapshot. A program version with stricter validation must not lose the
//     configuration in force.
//
// # What the package must not do
//
// The package does no I/O, reads no clock and uses no random numbers. Members with different program versions must apply an
// entry of the log with the same result. A check that earlier program versions lack therefore runs before a call is proposed, not when the
// entry is applied. CheckDeadlines is such a check.
package routing

//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/routing.yaml ../../../api/control.yaml

// Removes the package comment that the generator writes, since the package comment above replaces it.
//go:generate sed -i -e 1,2d -e "s/DO NOT EDIT[.]/&\\n/" wire.gen.go
