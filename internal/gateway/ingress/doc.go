// Package ingress implements HTTP/1.1 between the gateway's clients and backends. The package parses and admits requests,
// writes the forwarded requests, interprets the responses of backends, and writes the responses to clients.
//
// # Terms
//
//   - Admission: the settings that apply to a request. They are looked up by host, path and API key.
//   - Rejection: the reason why the gateway answers a request without sending the request to a backend.
//   - Attempt ID: the value of X-Attempt-Id, which the client chooses. A backend repeats the ID in the response.
//   - Seal: the value of X-Backend-Seal, by which a backend marks a response as its own.
//   - Txn (transaction): a client's request that the gate has accepted and that has not been answered yet.
//   - Gate: the gate.Gate, which connects requests in flight, the control module and the connections to backends.
//   - Turn: one iteration of the event loop. All callbacks run in a turn.
//   - Hop-by-hop header: a header that applies to a single connection and is never forwarded.
//   - Gateway header: a header that only the gateway sets, such as X-Tenant. The gateway drops such a header of a client.
//   - Streamed body: a body that is longer than BodyBufferBytes. The gateway forwards the parts as they arrive, so a
//     streamed body can't be sent a second time.
//
// # Guarantees
//
//   - Every accepted request gets one response, or its connection is closed. A truncated streamed response never looks
//     complete.
//   - A 429 or 503 of the gateway means that the request has not run and never will. After a 502 or 504 the request may
//     or may not have run.
//   - Only X-Not-Run and status 421 of a backend prove that a request did not run. After any other failure the request
//     may have run.
//   - A streamed body is read no faster than the receiver accepts the data. The remaining data waits in the sender's
//     socket.
//
// # What the package must not do
//
// The package chooses no backend, retries no request and keeps no state between requests. The gate and the control
// module do this. All functions are called in a turn of the event loop and must not block.
package ingress
