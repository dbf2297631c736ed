package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"clovergap/internal/lab/netfault"
	"clovergap/internal/timerqueue"
)

// Relay carries the datagrams between front doors, and does to them what faults say. Each ordered pair has a socket of
// its own, so that a front door sees every peer at one address: the one it sends to, and hears from.
type Relay struct {
	mu      sync.Mutex
	set     *netfault.Set
	base    int // the effect that Lossy sets
	blocked map[[2]int]int
	socks   [][]*net.UDPConn
	targets []netip.AddrPort
	born    time.Time
	moved   int
	late    time.Duration // the most that a datagram came later than it was to
	pending timerqueue.Queue[netfault.Copy]
	more    chan struct{}
	stop    chan struct{}
	tasks   sync.WaitGroup
}

// NewRelay opens the sockets for front doors that listen at the given addresses.
func NewRelay(listen []string, seed uint64) (*Relay, error) {
	r := &Relay{set: netfault.New(rand.New(rand.NewPCG(seed, 17))), blocked: map[[2]int]int{}, born: time.Now(), more: make(chan struct{}, 1),
		stop: make(chan struct{})}
	for _, at := range listen {
		a, err := netip.ParseAddrPort(at)
		if err != nil {
			return nil, err
		}
		r.targets = append(r.targets, a)
	}
	for i := range listen {
		r.socks = append(r.socks, make([]*net.UDPConn, len(listen)))
		for j := range listen {
			if i == j {
				continue
			}
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				r.Close()
				return nil, err
			}
			r.socks[i][j] = c
		}
	}
	for i := range listen {
		for j := range listen {
			if i != j {
				r.tasks.Add(1)
				go r.carry(i, j)
			}
		}
	}
	r.tasks.Add(1)
	go r.deliver()
	return r, nil
}

// Peers are the addresses that front door i is to be configured with.
func (r *Relay) Peers(i int) (all []string) {
	for j := range r.targets {
		if i == j {
			all = append(all, r.targets[i].String())
			continue
		}
		all = append(all, r.socks[i][j].LocalAddr().String())
	}
	return all
}

// carry takes what front door i sends to j on.
func (r *Relay) carry(i, j int) {
	defer r.tasks.Done()
	b := make([]byte, 2048)
	for {
		n, _, err := r.socks[i][j].ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		payload := append([]byte(nil), b[:n]...)
		r.mu.Lock()
		now := time.Since(r.born)
		r.send(now, r.set.Send(now, i, j, payload))
		r.mu.Unlock()
	}
}

// send hangs copies on the clock; the lock is held.
func (r *Relay) send(now time.Duration, copies []netfault.Copy) {
	for _, c := range copies {
		r.pending.Add(now+c.After, c)
	}
	if len(copies) > 0 {
		select {
		case r.more <- struct{}{}:
		default:
		}
	}
}

// deliver gives out what is due. How late that is tells whether the relay keeps up.
func (r *Relay) deliver() {
	defer r.tasks.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.mu.Lock()
		now, wait := time.Since(r.born), time.Hour
		for at, ok := r.pending.NextDeadline(); ok && at <= now; at, ok = r.pending.NextDeadline() {
			c, _ := r.pending.Take(now)
			r.late = max(r.late, now-at)
			r.moved++
			r.socks[c.Target][c.Source].WriteToUDPAddrPort(c.Payload, r.targets[c.Target]) // does not block
		}
		if at, ok := r.pending.NextDeadline(); ok {
			wait = at - now
		}
		r.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-r.stop:
			return
		case <-r.more:
		case <-timer.C:
		}
	}
}

// Bring begins an effect and gives what ends it: what was held back comes then.
func (r *Relay) Bring(e netfault.Effect) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.set.Begin(e)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.send(time.Since(r.born), r.set.End(id))
	}
}

// Lossy loses a share and delays the rest by up to a span, in place of what it was told before.
func (r *Relay) Lossy(share float64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.End(r.base)
	r.base = r.set.Begin(netfault.Effect{Loss: share, Reorder: 1, Delay: delay})
}

// Block parts two front doors, or joins them again.
func (r *Relay) Block(i, j int, apart bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id, ok := r.blocked[[2]int{i, j}]; ok {
		r.set.End(id)
		delete(r.blocked, [2]int{i, j})
	}
	if apart {
		r.blocked[[2]int{i, j}] = r.set.Begin(netfault.Effect{Blocked: true, Matches: func(a, b int) bool { return a == i && b == j || a == j && b == i }})
	}
}

// Count is how many datagrams went through.
func (r *Relay) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved
}

// Behind tells how far the relay fell behind: the latest that a datagram went out, how many that a cut was to hold found
// no room, and how many the machine dropped before they were read.
func (r *Relay) Behind() (late time.Duration, over, dropped uint64) {
	r.mu.Lock()
	late, over = r.late, r.set.Overflowed
	mine := map[string]bool{}
	for _, row := range r.socks {
		for _, c := range row {
			if c != nil {
				mine[fmt.Sprintf("%04X", c.LocalAddr().(*net.UDPAddr).Port)] = true
			}
		}
	}
	r.mu.Unlock()
	text, _ := os.ReadFile("/proc/net/udp")
	for _, l := range strings.Split(string(text), "\n") {
		f := strings.Fields(l)
		if len(f) < 13 {
			continue
		}
		if _, port, ok := strings.Cut(f[1], ":"); ok && mine[port] {
			var n uint64
			fmt.Sscan(f[12], &n)
			dropped += n
		}
	}
	return late, over, dropped
}

// Close ends it.
func (r *Relay) Close() {
	close(r.stop)
	for _, row := range r.socks {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	r.tasks.Wait()
}
