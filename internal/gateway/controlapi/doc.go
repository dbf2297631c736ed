// Package controlapi takes the control calls of backends, operators, applications and the platform, in HTTP/1.1 and
// JSON.
//
// # Terms
//
//   - Call: a path with its method and body. Its types are generated from api/control.yaml.
//   - Node: what stands behind the calls; it answers through a function, at once or in a later turn.
//   - Deferred answer: one that a call waits for. Its connection takes no other call until it comes.
//   - Ambiguous: a change that may have been applied, or may still be. Nodes give each other StatusAmbiguous, callers
//     get 503 with the error "unclear".
//
// # Guarantees
//
//   - A call gets one answer, or its connection is closed. An answer whose caller has left goes to nobody.
//   - A call that is wrong in itself (400, 404, 405) never reaches the node.
//   - 409, 412, 413 and 429 say that nothing was changed. So does 503 of an application's call, or of a change unless its
//     error is "unclear"; 503 of a heartbeat says that too few nodes have it. 504 says that a call may have been
//     carried out.
//
// # What the package must not do
//
// It decides nothing: whether a change is accepted, and in which order, is the log's. It must not block; all of it is
// called in a turn of the event loop.
package controlapi

//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/controlapi.yaml ../../../api/control.yaml
//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/coordination.yaml ../../../api/control.yaml

// The package comment that the generator writes goes, so that the one above stands alone.
//go:generate sed -i -e 1,2d -e "s/DO NOT EDIT[.]/&\\n/" api.gen.go coordination.gen.go
