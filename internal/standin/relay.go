package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Relay carries the datagrams between front doors, and delays, loses or cuts them. Each ordered pair has a socket of its
// own, so that a front door sees every peer at one address: the one it sends to, and hears from.
type Relay struct {
	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64
	delay time.Duration
	cut   map[[2]int]bool
	socks [][]*net.UDPConn
	to    []netip.AddrPort
	Moved int // datagrams that went through
}

// NewRelay opens the sockets for front doors that listen at the given addresses.
func NewRelay(listen []string, seed uint64) (*Relay, error) {
	r := &Relay{rng: rand.New(rand.NewPCG(seed, 17)), cut: map[[2]int]bool{}}
	for _, at := range listen {
		a, err := netip.ParseAddrPort(at)
		if err != nil {
			return nil, err
		}
		r.to = append(r.to, a)
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
				go r.carry(i, j)
			}
		}
	}
	return r, nil
}

// Peers are the addresses that front door i is to be configured with.
func (r *Relay) Peers(i int) (all []string) {
	for j := range r.to {
		if i == j {
			all = append(all, r.to[i].String())
			continue
		}
		all = append(all, r.socks[i][j].LocalAddr().String())
	}
	return all
}

// carry takes what front door i sends to j on.
func (r *Relay) carry(i, j int) {
	b := make([]byte, 2048)
	for {
		n, _, err := r.socks[i][j].ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		lost := r.cut[[2]int{i, j}] || r.rng.Float64() < r.loss
		wait := time.Duration(r.rng.Float64() * float64(r.delay))
		if !lost {
			r.Moved++
		}
		r.mu.Unlock()
		if lost {
			continue
		}
		payload := append([]byte(nil), b[:n]...)
		time.AfterFunc(wait, func() { r.socks[j][i].WriteToUDPAddrPort(payload, r.to[j]) })
	}
}

// Lossy loses a share and delays the rest by up to a span.
func (r *Relay) Lossy(share float64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss, r.delay = share, delay
}

// Cut parts two front doors, or joins them again.
func (r *Relay) Cut(i, j int, apart bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[[2]int{i, j}], r.cut[[2]int{j, i}] = apart, apart
}

// Count is how many datagrams went through.
func (r *Relay) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Moved
}

// Close ends it.
func (r *Relay) Close() {
	for _, row := range r.socks {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
}
