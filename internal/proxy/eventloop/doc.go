// Package eventloop has the sockets of a program, its clock, and its one lock. It is built on nbio, an epoll poller.
//
// # Terms
//
// A turn is one event (input, the end of a dial, an alarm, a signal) handled under the engine's lock: Engine.Turn. At its end the callback of
// OnTurnEnd runs, where decisions are carried out. A Link is a connection with a ring buffer a direction; its Owner is notified of what
// happens on it. An Alarm is called at a time of the engine's clock. The account of unread input (backlog.go) knows which sockets and listeners
// have input that this process has not read, and how long the input may have waited.
//
// # Guarantees
//
//   - One turn at a time. All state of the proxy, and of a node, is used in turns alone and needs no other lock.
//   - The clock stands still in a turn, unless Refresh is called, and never goes back.
//   - Bytes on a link are bounded by its rings, and all input rings together by one bound. What does not fit waits in the socket.
//   - An event reaches the connection that it is of, also if descriptors are reused: descriptors.go.
//   - Link.InputDelay is too small by MaxUnknownDelay at most, however long this process was paused and however slowly it reads.
//   - Link.Written is what the kernel took, also after the link is closed.
//   - Owner.Closed is called at most once, and never after Close.
//
// # What it must not do
//
// It knows no protocol. Callbacks of the poller may come under the poller's own locks: they must not close a connection outside of a turn.
package eventloop
