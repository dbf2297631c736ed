// Package peers carries the module's messages between front doors as datagrams.
package peers

import (
	"errors"
	"net"
	"net/netip"

	"clovergap/control"
	"clovergap/internal/counters"
	"clovergap/internal/link"
)

// longest datagram that a front door may send.
const longest = 256

// Peers is this front door's socket and where the others are.
type Peers struct {
	e     *link.Engine
	conn  *net.UDPConn
	addrs []netip.AddrPort
	ids   map[netip.AddrPort]control.GatewayID
	heard func(control.GatewayID, []byte)
}

// Open listens; heard is told of what comes.
func Open(e *link.Engine, listen string, addrs []netip.AddrPort, me int,
	heard func(control.GatewayID, []byte)) (*Peers, error) {
	p := &Peers{e: e, addrs: addrs, ids: map[netip.AddrPort]control.GatewayID{}, heard: heard}
	for i, a := range addrs {
		if i != me {
			p.ids[a] = control.GatewayID(i)
		}
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	p.conn, err = net.ListenUDP("udp", at)
	return p, err
}

// Start begins to listen.
func (p *Peers) Start() { go p.read() }

// Close ends it.
func (p *Peers) Close() { p.conn.Close() }

func (p *Peers) read() {
	b := make([]byte, 2048)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if n == 0 && isClosed(err) {
				return
			}
			continue // a datagram of ours came back; nothing is lost by it
		}
		p.e.Turn(func() { p.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n]) })
	}
}

// take passes on what a known peer says; the rest is dropped and counted.
func (p *Peers) take(from netip.AddrPort, payload []byte) {
	id, ok := p.ids[from]
	if !ok || len(payload) > longest {
		p.e.Count.Add(counters.MailBad)
		return
	}
	p.e.Count.Add(counters.MailTaken)
	p.heard(id, payload)
}

// Tell sends a message; one that can't be sent is lost as any may be.
func (p *Peers) Tell(peer control.GatewayID, payload []byte) {
	if int(peer) >= len(p.addrs) || len(payload) > longest {
		p.e.Count.Add(counters.MailUnsent)
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(payload, p.addrs[peer]); err != nil {
		p.e.Count.Add(counters.MailUnsent)
		return
	}
	p.e.Count.Add(counters.MailSent)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
