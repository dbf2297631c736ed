// What comes in: connections that others dialed, and those that this node dialed and offers.

package transport

import (
	"bufio"
	"cmp"
	"encoding/gob"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/failpoint"
)

// incoming is a connection that frames come on.
type incoming struct {
	place uint64        // among all of them, by their beginning
	ended chan struct{} // closed when nothing more comes on it
}

// opening is the first value on a link. Life differs between two starts of a node.
type opening struct {
	From string
	Life uint64
	Both bool   // its sender takes frames on this link as well, see Offer
	Nr   uint64 // grows with each stream that the sender begins in its life; 0: a node of the version before
}

// stream tells which of a node's streams is the newer one: within a life by what the node says, else by the order in which their
// connections came.
type stream struct{ life, nr, place uint64 }

func (s stream) before(o stream) bool {
	if s.life == o.life && s.nr > 0 && o.nr > 0 {
		return s.nr < o.nr
	}
	return s.place < o.place
}

func (w *Mesh[F]) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // descriptors ran out
			continue
		}
		w.mu.Lock()
		if w.done {
			c.Close()
		} else {
			w.noteIncoming(c)
			w.all.Go(func() { w.read(c, "") })
		}
		w.mu.Unlock()
	}
}

// bounded ends a stream whose frame is longer than any may be.
type bounded struct {
	r    io.Reader
	left int
}

// noteIncoming gives a connection that frames may come on its place; the mesh is locked.
func (w *Mesh[F]) noteIncoming(c net.Conn) *incoming {
	w.tail++
	in := &incoming{place: w.tail, ended: make(chan struct{})}
	w.incoming[c] = in
	return in
}

// read takes what comes on a connection until it ends. One that this node dialed bears the name of whom it leads to.
func (w *Mesh[F]) read(c net.Conn, dialed string) {
	var o opening
	defer func() {
		hideEnd(c, cmp.Or(o.From, dialed))
		c.Close()
		w.mu.Lock()
		w.endIncoming(o.From, c)
		if w.from[o.From] == c {
			delete(w.from, o.From)
		}
		w.mu.Unlock()
	}()
	b := &bounded{r: c, left: frameMost}
	dec := gob.NewDecoder(bufio.NewReaderSize(b, 2<<10))
	if dec.Decode(&o) != nil || dialed != "" && o.From != dialed {
		return
	}
	// What a link before this one still holds is of an earlier time, perhaps of an earlier life; and where its machine
	// lost power, nothing else ever ends it. Which is the earlier one is told by the order in which they came: which is read
	// first is chance.
	w.mu.Lock()
	this := stream{o.Life, o.Nr, w.incoming[c].place}
	if this.before(w.last[o.From]) {
		w.mu.Unlock()
		return
	}
	w.last[o.From] = this
	if old := w.from[o.From]; old != nil {
		old.Close()
	}
	w.from[o.From] = c
	if dialed == "" {
		w.dialedBy(o, c)
	}
	w.mu.Unlock()
	w.turn(func() {
		if w.newestOf(o.From, c) {
			w.host.Came(o.From)
		}
	})
	for {
		f := new(F)
		b.left = frameMost
		if dec.Decode(f) != nil {
			return
		}
		w.turn(func() {
			if w.newestOf(o.From, c) {
				w.host.Heard(o.From, f)
			}
		})
	}
}

// dialedBy: a node has dialed us, so that it can be reached. A dial to it that hangs since its machine was dark, or a pause, ends;
// and a connection to an earlier life of it, which may look well for as long as nothing is sent.
// Where it offers the link that it dialed, what this node has to say goes there from now on.
func (w *Mesh[F]) dialedBy(o opening, c net.Conn) {
	anew := w.lives[o.From] != 0 && w.lives[o.From] != o.Life
	w.lives[o.From] = o.Life
	offered := w.noteOffer(o, c)
	if l := w.links[o.From]; l != nil && l.abort != nil && (!l.up || anew || offered) {
		l.abort()
	}
}

// newestOf tells whether a node has dialed no other link since this one.
func (w *Mesh[F]) newestOf(from string, c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.from[from] == c
}

// hideEnd plays a machine without power in a debug build: nothing tells this side of the end of a connection, until it closes that
// itself.
func hideEnd(c net.Conn, from string) {
	if !failpoint.Dark(from) {
		return
	}
	for b := make([]byte, 1); ; time.Sleep(cutLook) {
		if _, err := c.Read(b); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// cutLook is how often a debug build looks whether a cut has healed.
const cutLook = 5 * time.Millisecond
