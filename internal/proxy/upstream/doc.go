// Package upstream sends attempts to backends over pooled connections, and reads the answers. The picture in package gate shows where it
// stands.
//
// # Terms
//
// A Dispatch has all backends and connections. A submission is an attempt: one sending of a txn to one backend, over one connection (conn).
// A transmission is what of it was handed to the socket. A Dialect interprets the answers. An answer is buffered until it is complete,
// or streamed if it is larger than Config.Buffer. A connection rests for Config.MinIdle after an answer before it is used again, and is
// not used again when it was idle for most of Config.IdleTimeout. Time-outs of attempts are in timeouts.go.
//
// # Guarantees
//
//   - Gate.Ended is called exactly once for each attempt.
//   - An attempt goes over one connection. Its request's bytes are handed to the socket in one place, and whether it may have had effect is
//     decided in one place, after the connection is closed: transmission.go.
//   - Whatever can't be excluded to have had effect is reported so. In particular an answer that can't be read ends as a broken connection.
//   - An answer goes to the request that its connection carries. Bytes without a request close the connection.
//   - Nothing new goes to a backend that is not ready.
//   - No attempt is sent after its deadline or its send deadline (gate.Limits), whatever held it up before.
//
// # What it must not do
//
// It chooses nothing: which backend, how long and whether again are the module's decisions. Nothing of it may be called outside of a turn.
package upstream
