// Package transport owns the links between the nodes of a deployment: streams of gob values over TCP that stay open, so that
// descriptions of types travel once.
//
// # Terms
//
//   - Link: one direction of a pair of nodes, from the node that sends. It is wanted or not, up or down, and while it is up it has one
//     connection.
//   - Frame: one value of the mesh's type F.
//   - Handshake: the first value of a stream: the sender's address, its incarnation, and the stream's number in it.
//   - Offered link: a connection whose dialer also takes frames on it, so that the other side needs no connection of its own.
//
// # Guarantees
//
//   - A link is dialed until it is up or no longer wanted, with a backoff between minRedialBackoff and maxRedialBackoff; a
//     handshake of its target ends a backoff or a dial that hangs at once.
//   - Frames of one link arrive in the order of Send, at most once, and only from the newest stream of their sender: a
//     connection of a former incarnation that is read late, or that a power loss left open, delivers nothing any more.
//   - Nothing is delivered for sure. What was sent before LinkUp, or waits when a link ends, is lost; a link's queue holds
//     maxQueuedFrames, and Send drops what is beyond. Whoever needs a frame to arrive repeats it.
//   - Send never blocks. A peer that does not read for writeTimeout loses its link; other links go on.
//   - A frame longer than maxFrameBytes ends its stream.
//   - Each event of the Host comes in a turn of its own, and none after Stop has returned.
//   - What was given to Send is read later by another goroutine: the caller changes nothing that it points to.
//
// # Goroutines
//
// One accepts, each wanted link has one that dials and writes, each connection that frames come on one that reads, each
// dialed connection that none come on one that waits for its end. Stop ends all of them.
//
// # What it must not do
//
// It does not know what frames mean and keeps none. It does not decide who is linked with whom (package membership), nor who is live:
// that a link is up says nothing of the process behind it.
package transport
