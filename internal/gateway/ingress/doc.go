// Package ingress speaks HTTP/1.1 with the gateway's clients and backends. It reads and admits requests, writes
// what a backend is sent, decides what a backend's response proves, and writes what the client gets.
//
// # Terms
//
//   - Admission: what the configuration says of a request, looked up by host, path and API key.
//   - Rejection: why a request is answered here, without a backend.
//   - Hop-by-hop header: one that concerns a single connection; it is never forwarded.
//   - Gateway header: one that only the gateway sets, such as X-Tenant; a client's is dropped.
//   - Streamed body: one longer than BodyBufferBytes; it is forwarded as it comes, and can't be sent a second time.
//
// # Guarantees
//
//   - Every request that is taken gets one response, or its connection is closed; a streamed response that was cut
//     short never looks complete.
//   - A response of 429, or of 503, says that the request has not run and never will. 502 and 504 say nothing of it.
//   - Only X-Not-Run and status 421 of a backend prove that a request did not run; all else leaves it open.
//   - A streamed body is read no faster than the other side takes it: the rest waits in its sender's socket.
//
// # What the package must not do
//
// It chooses no backend, retries nothing and keeps nothing from one request to the next: that is the gate's and the
// control module's. All of it is called in a turn of the event loop and must not block.
package ingress
