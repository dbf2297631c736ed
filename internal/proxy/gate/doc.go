// Package gate connects the decision module with the sockets: inputs go in, decisions are carried out.
//
// # A request's way through the proxy
//
//	client                                                                              backend
//	  |  bytes                                                                             ^
//	  v                                                                                    |
//	eventloop.Link    a connection with a ring buffer a direction       eventloop.Link     |
//	  |                                                                     ^        |     |
//	  v                                                                     | bytes  | bytes
//	http1.Reader      finds a message's end, then its parts                 |        v
//	  |                                                                     |   http1.Reader
//	  v                                                                     |        |
//	downstream.Client one connection, one request at a time           upstream.conn  |
//	  |                                                                     ^        v
//	  v                                                                     |   upstream.Dialect: what the answer means
//	downstream.Handler (Txns, ingress.Handler): a request becomes a txn     |        |
//	  |                                                                     |        |
//	  | Take                                                         Submit |        | Ended, or Begun/Pass/Ended if streamed
//	  v                                                                     |        v
//	gate.Gate  ---- TxnArrived, SubmissionEnded, ... ---->  Module  ---- Next: Submit, Reject, Fail, ... ---->  gate.Gate
//	  |
//	  | Complete, Reject or Fail of the Front that the txn came from
//	  v
//	downstream.Client -> eventloop.Link -> client
//
// Beside that way, peers carries the module's datagrams, counters counts, answer formats the proxy's own answers and slots
// gives the references that name clients, txns, attempts and connections.
//
// # Terms
//
// A txn is a client's request, from Take until it is answered and no attempt of it is out. A submission, or attempt, is one sending
// of it to a backend; they are numbered from 0. A front is where txns come from (Front); it may stream bodies (Streamer). A turn is
// one event that is handled under the engine's lock: package eventloop.
//
// # Guarantees
//
//   - Inputs never act. What they lead to is done at the end of the turn, by RunDecisions, in the module's order.
//   - A txn is answered once: by Complete, Reject or Fail, or by Begin and End if the answer is streamed.
//   - At most one attempt of a txn is out at a time, and each has one outcome.
//   - What must take effect at most once (Message.Once) is not sent again after it may have had effect, and is not rejected as if it had none,
//     whatever the module decides.
//   - The number of txns in flight is bounded.
//
// # What it must not do
//
// It knows no protocol, opens no socket and chooses nothing: which backend, how long and whether again are the module's decisions.
// None of it may be called outside of a turn.
package gate
