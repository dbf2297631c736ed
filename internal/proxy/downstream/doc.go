// Package downstream reads clients' requests and writes their answers. What a request means is its Handler's matter: Txns at the
// front door, ingress.Handler and controlapi.Handler at a node. The picture in package gate shows where it stands.
//
// # Terms
//
// A Server has the connections of one listener's clients. A Client is one connection. It processes one request at a time; what comes after it
// waits in the socket and the ring. A request is answered at once, or a txn is named that it waits for (Client.AwaitAnswer), or a Ticket
// is taken for it. A request's body is buffered until it is complete, or streamed if it is larger than Bounds.Buffer: then the handler gets
// the head alone, and takes parts as they come (Client.Part).
//
// # Guarantees
//
//   - Each request has one answer, and answers go out in the order of the requests.
//   - An answer reaches the request that it is for or nobody: references to connections, txns and numbers of requests are all compared.
//   - A request whose end is not known is answered, and its connection closed: what follows is never read as a request.
//   - Clients, the memory of each and the time that each may take are bounded. A connection is not closed while a request may wait unread in
//     its socket, and a stall of this process is not counted as the client's time.
//   - A request that was taken is answered while the server drains.
//
// # What it must not do
//
// It decides nothing about a request beyond its form. Nothing of it may be called outside of a turn.
package downstream
