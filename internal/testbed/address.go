package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// reservationPort is held open to reserve a loopback IP address for one test bed.
	reservationPort = 9999
	// firstPort and lastPort are below the range of ephemeral ports.
	firstPort, lastPort = 10000, 30000
	maxReservationTries = 100
	// firstOctet and octets bound the second byte of the address, away from 127.0.0.0/16.
	firstOctet, octets = 10, 200
)

// AddressPool gives out ports of one loopback IP address that no other test bed uses at the same time. Ports of 127.0.0.1 could be
// taken by other processes between their choice and their use.
type AddressPool struct {
	reservation net.Listener
	ip          string
	next        int
}

// ReserveAddresses returns an IP address of its own.
func ReserveAddresses() (*AddressPool, error) {
	var last error
	for range maxReservationTries {
		ip := fmt.Sprintf("127.%d.%d.%d", firstOctet+rand.IntN(octets), 1+rand.IntN(250), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, reservationPort))
		if err == nil {
			return &AddressPool{reservation: listener, ip: ip, next: firstPort}, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "testbed: reserve a loopback address")
}

// Take returns the next address with a port.
func (a *AddressPool) Take() string {
	a.next++
	if a.next > lastPort {
		panic("testbed: more addresses than ports")
	}
	return fmt.Sprintf("%s:%d", a.ip, a.next)
}

// Release lets others use the address.
func (a *AddressPool) Release() { _ = a.reservation.Close() } // It is released with the process at the latest.
