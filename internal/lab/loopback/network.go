// Package loopback reserves networks on the loopback interface for tests and laboratory runs that start nodes. Two runs on one machine then never use
// the same address, also while a node is down and its ports are free.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// A network is 127.x.y.0/24. Its second and third octets have three digits, so that the text of all prefixes has the same length.
const (
	minOctet      = 100
	octetCount    = 150
	networkCount  = octetCount * octetCount
	reservedHost  = 254   // the last octet of the address that holds the reservation
	reservedPort  = 17000 // the port that holds the reservation
	maxHost       = reservedHost - 1
	startDistance = 7919 // between the first candidates of two processes with consecutive IDs; a prime number
)

// ErrNoNetwork is returned by Reserve if every network is reserved.
var ErrNoNetwork = errors.New("reserve a loopback network: all are reserved")

// Network is a reserved network. The reservation is a listening socket of this process, so it ends with the process at the latest.
type Network struct {
	prefix      string
	reservation net.Listener
}

// reservations counts the calls of Reserve in this process.
var reservations atomic.Uint32

// Reserve reserves a network that no other run has reserved.
func Reserve() (*Network, error) {
	return reserveFrom(uint32(os.Getpid())*startDistance + reservations.Add(1))
}

// reserveFrom reserves the first network that is not reserved, beginning with the candidate of a number.
func reserveFrom(start uint32) (*Network, error) {
	for i := range uint32(networkCount) {
		prefix := prefixOf((start%networkCount + i) % networkCount)
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", prefix, reservedHost, reservedPort))
		if err == nil {
			return &Network{prefix: prefix, reservation: listener}, nil
		}
	}
	return nil, ErrNoNetwork
}

// prefixOf returns the prefix of the network with a number below networkCount.
func prefixOf(number uint32) string {
	return fmt.Sprintf("127.%d.%d.", minOctet+number/octetCount, minOctet+number%octetCount)
}

// Prefix returns the first three octets of the network's addresses, with a dot at the end.
func (n *Network) Prefix() string { return n.prefix }

// Host returns the address with the given last octet, which is at least 1 and at most 253.
func (n *Network) Host(lastOctet int) string {
	if lastOctet < 1 || lastOctet > maxHost {
		panic(fmt.Sprintf("loopback: no host %d", lastOctet))
	}
	return fmt.Sprint(n.prefix, lastOctet)
}

// Release ends the reservation. Another run may then reserve the network.
func (n *Network) Release() error { return n.reservation.Close() }
