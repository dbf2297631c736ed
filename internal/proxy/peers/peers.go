// Package peers carries datagrams between the front doors, or nodes, of a fleet: those of the quota, and the front doors' lease frames.
// Any may be lost, duplicated or reordered; only those from a known peer's address are taken.
package peers

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"clovergap/control"
	"clovergap/internal/failpoint"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
)

// maxDatagram bounds a datagram's payload, in bytes.
const maxDatagram = 256

// MaxUnread is how long a datagram may have waited unread. An older one is dropped, as if the network had lost it: what it grants may have
// expired, and it does not show that its sender can be reached now.
const MaxUnread = 250 * time.Millisecond

// MaxDelay is the longest time from the arrival of a datagram at the socket until it is taken.
const MaxDelay = MaxUnread + eventloop.MaxUnknownDelay

// Peers is the socket of this process, with the addresses of its peers. It is used in turns alone.
type Peers struct {
	engine      *eventloop.Engine
	descriptor  int
	listen      netip.AddrPort
	addrs       []syscall.Sockaddr
	ids         map[netip.AddrPort]control.GatewayID
	received    func(control.GatewayID, []byte)
	framePrefix byte                            // the first byte of a frame
	frames      func(control.GatewayID, []byte) // takes frames; nil: they go to received
	buf         [2048]byte
}

// New makes it for the peers' addresses, in the order of their IDs, of which me is this process's. heard is called with each datagram.
func New(e *eventloop.Engine, listen string, addrs []netip.AddrPort, me int,
	heard func(control.GatewayID, []byte)) (*Peers, error) {
	p := &Peers{engine: e, descriptor: -1, received: heard}
	p.SetPeers(addrs, me)
	var err error
	p.listen, err = netip.ParseAddrPort(listen)
	return p, err
}

// Frames sets what takes the datagrams that begin with prefix, which no datagram of the module's does. Without it the module gets
// them, and ignores them.
func (p *Peers) Frames(prefix byte, f func(control.GatewayID, []byte)) {
	p.framePrefix, p.frames = prefix, f
}

// SetPeers changes the peers' addresses, in the order of their IDs, of which me is this process's.
func (p *Peers) SetPeers(addrs []netip.AddrPort, me int) {
	p.ids, p.addrs = map[netip.AddrPort]control.GatewayID{}, nil
	for i, a := range addrs {
		if i != me {
			p.ids[a] = control.GatewayID(i)
		}
		p.addrs = append(p.addrs, sockaddr(a))
	}
}

func sockaddr(a netip.AddrPort) syscall.Sockaddr {
	if a.Addr().Is4() {
		return &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &syscall.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// Start opens the socket and gives it to the poller.
func (p *Peers) Start() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.listen))
	if err != nil {
		return err
	}
	defer conn.Close()
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	fd := -1
	if e := raw.Control(func(x uintptr) { fd, err = syscall.Dup(int(x)) }); e != nil || err != nil {
		return err
	}
	p.descriptor, err = p.engine.Watch(fd, p.read)
	return err
}

// read takes all datagrams that have come, which was after the time since.
func (p *Peers) read(since time.Duration) {
	for {
		n, from, err := syscall.Recvfrom(p.descriptor, p.buf[:], syscall.MSG_DONTWAIT)
		if err == syscall.ECONNREFUSED || err == syscall.EINTR {
			continue // a datagram of ours came back: its receiver is down
		}
		if err != nil {
			return
		}
		if p.engine.Refresh(); p.engine.Now()-since > MaxUnread {
			p.engine.Count.Add(counters.DatagramsLate)
			continue
		}
		p.take(addrPort(from), p.buf[:n])
	}
}

// take passes on a datagram of a known peer; others are dropped and counted.
func (p *Peers) take(from netip.AddrPort, payload []byte) {
	id, ok := p.ids[from]
	if !ok || len(payload) > maxDatagram {
		p.engine.Count.Add(counters.DatagramsBad)
		return
	}
	if p.frames != nil && len(payload) > 0 && payload[0] == p.framePrefix {
		p.frames(id, payload)
		return
	}
	p.engine.Count.Add(counters.DatagramsTaken)
	failpoint.At(failpoint.AfterReceiveDatagram)
	p.received(id, payload)
}

// SendDatagram sends a datagram to a peer. One that can't be sent is counted, and lost as any may be.
func (p *Peers) SendDatagram(peer control.GatewayID, payload []byte) {
	failpoint.At(failpoint.BeforeSendDatagram)
	if int(peer) >= len(p.addrs) || len(payload) > maxDatagram || p.descriptor < 0 ||
		failpoint.On && failpoint.Partitioned(addrPort(p.addrs[peer]).String()) ||
		syscall.Sendto(p.descriptor, payload, syscall.MSG_DONTWAIT, p.addrs[peer]) != nil {
		p.engine.Count.Add(counters.DatagramsUnsent)
		return
	}
	p.engine.Count.Add(counters.DatagramsSent)
}

// Addr is the address that the socket is bound to.
func (p *Peers) Addr() netip.AddrPort {
	a, _ := syscall.Getsockname(p.descriptor)
	return addrPort(a)
}

func addrPort(a syscall.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
