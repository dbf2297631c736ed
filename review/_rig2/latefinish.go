package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Figures of the case, those of rau-subastas-locks: its machines, the traffic of one of them (patio-mosquera: 524 requests a second at 22
// machines) and its shorter freeze. Callers hold "for many seconds".
const (
	machineShare          = 0.16 // of a core, without a disk
	diskMachineShare      = 0.4
	frontClients          = 24
	clientPause           = time.Second
	requestsPerConnection = 5
	freezeLength          = 2300 * time.Millisecond
	lockHold              = 8 * time.Second
	finishAfter           = 100 * time.Millisecond // into the freeze
	restartAfter          = 300 * time.Millisecond // into the freeze
	lockRounds            = 12
)

// lateFinish: a caller sends Locks.Finish to a machine that stands still, ends, starts again under its own name and takes the lock through
// another machine. The machine wakes. Nobody else may get the lock while the caller's hold runs.
func lateFinish(folder, program string, trouble bool) (broken bool) {
	c := newCluster(folder, program, 3, 3)
	onExitStop(c)
	c.startAll()
	services := []string{"catalogo"}
	routes := []route{{"views", "views.example", "/lots/", "pure", "catalogo", 2}, {"bids", "bids.example", "/bids/", "effectful", "catalogo", 2}}
	c.replaceConfiguration(configuration(1, 0, services, routes), 20*time.Second)
	for i := range 6 {
		startBackend(fmt.Sprintf("i-%d", i), "catalogo", c.machines[i%3].ip, zones[i%3], 20*time.Millisecond, controls(c))
	}
	c.awaitReady(20 * time.Second)
	sleepy := c.machines[3] // without a disk
	share := keepShare(sleepy, machineShare)
	var served atomic.Int64
	zone := startPlatform(c.machines[0], sleepy) // the machines of a zone
	for i := range frontClients {
		go frontClient(i, zone, 1, &served)
	}
	time.Sleep(2 * time.Second)
	note("machines are up, %d requests served to the clients of %s", served.Load(), sleepy.name)
	for round := 1; round <= lockRounds && !broken; round++ {
		broken = lockRound(c, sleepy, share, round, trouble)
	}
	return broken
}

// lockRound plays one lock; true: two callers counted themselves its holder.
func lockRound(c *cluster, sleepy *machine, share *cpuShare, round int, trouble bool) bool {
	lock := fmt.Sprintf("l%d", round)
	first := begin(c.machines[0], lock, "x", 5*time.Second)
	if first.fence == 0 {
		giveUp("round %d: x did not get its lock", round)
	}
	if trouble {
		share.freeze()
		note("%s: %s stands still", lock, sleepy.name)
	}
	time.Sleep(finishAfter)
	finishAndEnd(sleepy, lock, "x", first.fence)
	time.Sleep(restartAfter - finishAfter)
	second := begin(c.machines[1], lock, "x", time.Second)
	if second.fence == 0 {
		giveUp("round %d: x did not get its lock again", round)
	}
	time.Sleep(freezeLength - restartAfter)
	if trouble {
		share.thaw()
		note("%s: %s goes on", lock, sleepy.name)
	}
	for time.Now().Before(second.sent.Add(lockHold - 2*time.Second)) {
		other := begin(c.machines[2], lock, "y", 0)
		if other.fence != 0 && other.answered.Before(second.sent.Add(lockHold)) {
			note("%s: y holds with fence %d, while x (fence %d) counts itself holder for another %.1f s", lock, other.fence, second.fence,
				time.Until(second.sent.Add(lockHold)).Seconds())
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// held is what a Locks.Begin brought.
type held struct {
	fence          int
	sent, answered time.Time
}

// begin asks for a lock, again for as long as the limit says; the fence is 0 if it was not given.
func begin(m *machine, lock, holder string, limit time.Duration) (h held) {
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		h = held{sent: time.Now()}
		a, err := call(m.control(), "POST", "/api/Locks.Begin/"+lock, fmt.Sprintf(`{"holder":%q,"hold":"%dms"}`, holder, lockHold.Milliseconds()), time.Second)
		h.answered = time.Now()
		if err == nil && a.status == 200 {
			var body struct{ Fence int }
			must(json.Unmarshal([]byte(a.body), &body))
			h.fence = body.Fence
			note("%s: Begin by %s at %s: 200, fence %d", lock, holder, m.name, h.fence)
			return h
		}
		if limit > 0 {
			note("%s: Begin by %s at %s: %d %v", lock, holder, m.name, a.status, err)
		}
		if time.Now().After(until) {
			return h
		}
	}
}

// finishAndEnd sends Locks.Finish, and ends as a caller whose process ends: the connection closes, whether or not an answer came.
func finishAndEnd(m *machine, lock, holder string, fence int) {
	conn, err := net.DialTimeout("tcp", m.control(), time.Second)
	must(err)
	defer conn.Close()
	_, err = io.WriteString(conn, requestText("POST", "/api/Locks.Finish/"+lock, fmt.Sprintf(`{"holder":%q,"fence":%d}`, holder, fence)))
	must(err)
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	a, err := readAnswer(bufio.NewReader(conn), "POST")
	note("%s: Finish by %s at %s with fence %d: %d %v; %s ends", lock, holder, m.name, fence, a.status, err, holder)
}

// frontClient is a client whose hash names one machine. It sends requests over a kept connection, about one a second, and takes a new connection after
// some: of ten clients six look at lots, two bid and two pull appraisals, with the deadlines of those kinds. A request that may be repeated is given up
// after a second without an answer, and tried once more over a connection to another machine; a bid is waited for until its deadline.
func frontClient(number int, p *platform, home int, served *atomic.Int64) {
	time.Sleep(time.Duration(number) * time.Second / frontClients)
	request, limit := "GET /lots/%d HTTP/1.1\r\nHost: views.example\r\nX-Attempt-Id: c%d-%d\r\nX-Deadline-Ms: 4000\r\n\r\n", time.Second
	repeatable := true
	switch number % 10 {
	case 0, 5:
		request = strings.Replace(request, "4000", "10000", 1)
	case 3, 8:
		request = "POST /bids/%d HTTP/1.1\r\nHost: bids.example\r\nX-Attempt-Id: c%d-%d\r\nX-Deadline-Ms: 5000\r\nContent-Length: 1200\r\n\r\n" +
			strings.Repeat("b", 1200)
		limit, repeatable = 5*time.Second, false
	}
	tries := 0
	send := func(m *machine, most int) (answered bool) {
		conn, err := net.DialTimeout("tcp", m.front(), time.Second)
		if err != nil {
			return false
		}
		defer conn.Close()
		from := bufio.NewReader(conn)
		for range most {
			tries++
			conn.SetDeadline(time.Now().Add(limit))
			fmt.Fprintf(conn, request, tries, number, tries)
			a, err := readAnswer(from, "")
			if err != nil {
				return false
			}
			if a.status == 200 {
				served.Add(1)
			}
			time.Sleep(clientPause)
		}
		return true
	}
	for {
		if !send(p.choose(home, false), requestsPerConnection) && repeatable {
			send(p.choose(home, true), 1)
		}
	}
}

func controls(c *cluster) (list []string) {
	for _, m := range c.machines {
		list = append(list, m.control())
	}
	return list
}

func onExitStop(c *cluster) {
	before := onExit
	onExit = func() { c.stopAll(); before() }
}
