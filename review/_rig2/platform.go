package main

import (
	"sync/atomic"
	"time"
)

// platform is a stand-in for the platform in front of one zone: it asks each machine each second whether it is ready, and gives no new connection
// to one that has missed twice, until that one answers 200 again.
type platform struct {
	machines []*machine
	misses   []atomic.Int32
}

// maxMisses is how often a machine may miss in a row and still get new connections.
const maxMisses = 1

func startPlatform(machines ...*machine) *platform {
	p := &platform{machines: machines, misses: make([]atomic.Int32, len(machines))}
	for i := range machines {
		go p.ask(i)
	}
	return p
}

func (p *platform) ask(i int) {
	for ; ; time.Sleep(time.Second) {
		go func() {
			if a, err := call(p.machines[i].readiness(), "GET", "/api/ready", "", time.Second); err == nil && a.status == 200 {
				p.misses[i].Store(0)
			} else {
				p.misses[i].Add(1)
			}
		}()
	}
}

// choose is the machine for a new connection of a client whose hash names the machine home. Further tries reach others.
func (p *platform) choose(home int, further bool) *machine {
	in := func(i int) bool { return p.misses[i].Load() <= maxMisses }
	count := 0
	for i := range p.machines {
		if in(i) {
			count++
		}
	}
	all := 2*count < len(p.machines) // fewer than half are in: all are used
	for step := range p.machines {
		i := (home + step) % len(p.machines)
		if further && step == 0 && len(p.machines) > 1 {
			continue
		}
		if all || in(i) {
			return p.machines[i]
		}
	}
	return p.machines[home]
}
