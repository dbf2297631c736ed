// Package transport maintains the links between the nodes of a deployment. A link is a stream of gob values over a TCP connection that
// stays open, so that type descriptions are sent only once per stream.
//
// # Terms
//
//   - Link: the outbound direction from one node to another. A link is wanted or not. A wanted link is up or down. While it is up, it
//     has one connection.
//   - Frame: one value of the type parameter F of the mesh.
//   - Handshake: the first value of a stream. It holds the address of the sender, its incarnation, and the sequence number of the stream
//     within that incarnation.
//   - Offered link: a connection on which the dialer also accepts frames, so that the other node does not need to dial a connection
//     of its own.
//   - Turn: a function call with exclusive access to the state of the host. Turns run one at a time.
//
// # Guarantees
//
//   - A link that is wanted is dialed until it is up, with a backoff between minRedialBackoff and maxRedialBackoff. A handshake from the
//     target ends a backoff or a hanging dial at once. If the target has dialed again, it also ends a connection that is older than
//     writeTimeout: after an interruption in one direction such a connection may deliver nothing for as long as the interruption lasted.
//   - Frames of one link arrive in the order of the Send calls and at most once. They are accepted only from the newest stream of their
//     sender. A connection of an earlier incarnation that is read late, or that a power loss left open, delivers nothing any more.
//   - Delivery is not guaranteed. Frames that were sent before LinkUp, or that are queued when a link ends, are lost. The queue of a
//     link holds maxQueuedFrames, and Send drops frames beyond that. A sender that needs a frame to arrive must repeat it.
//   - Send never blocks. If a peer does not read for writeTimeout, its link ends. Other links continue.
//   - A frame longer than maxFrameBytes ends its stream.
//   - Each event is reported to the Host in a separate turn. No event is reported after Stop has returned.
//   - Another goroutine encodes a frame after Send has returned. The caller must not change the frame or anything that it points to.
//
// # Goroutines
//
// One goroutine accepts connections. Each wanted link has a goroutine that dials and writes. Each connection that carries inbound frames
// has a goroutine that reads. Each dialed connection without inbound frames has a goroutine that waits for its end. Stop ends all of
// these goroutines.
//
// # What it must not do
//
// The package does not interpret or store frames. It does not decide which nodes are linked (package membership does) or which nodes
// are live: a link that is up does not prove that the process behind it works.
package transport
