// Package http1 parses and writes HTTP/1.1 messages, requests and responses, without copying them.
//
// A Reader gets all bytes of a message that have come, each time more have, and keeps offsets into them. It reads a message as a whole, or
// its head first and then its body in parts (StreamBody, Part). The functions that append write heads.
//
// # Guarantees
//
//   - Where a message ends is never guessed: what two implementations could read differently is an error (ErrFraming), and every error ends
//     the use of the connection. A response that is delimited by the connection's end is an error too.
//   - Heads, their number of headers, and bodies are bounded.
//   - Bytes that can't become a message are an error as soon as they show it.
//
// # What it must not do
//
// It does no I/O, knows no time and interprets no header but those of framing: Content-Length, Transfer-Encoding, Connection.
package http1
