package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// reservationPort is the port on which a test cluster listens for as long as it uses a loopback IP address. No other test cluster can
	// reserve the address meanwhile, because it fails to listen on the same port.
	reservationPort = 9999
	// Ports after firstPort up to lastPort are handed out. They are below the range of ephemeral ports.
	firstPort, lastPort = 10000, 30000
	maxReservationTries = 100
	// The second byte of the address is one of secondOctetCount values from minSecondOctet on, which keeps addresses outside
	// 127.0.0.0/16.
	minSecondOctet, secondOctetCount = 10, 200
)

// AddressPool hands out ports of one loopback IP address that no other test cluster uses at the same time. Ports of 127.0.0.1 are not
// safe, because another process could bind a port after it was chosen and before it is used.
type AddressPool struct {
	reservation net.Listener
	ip          string
	// port is the last port that was handed out, initially firstPort.
	port int
}

// ReserveAddresses reserves a random loopback IP address and returns a pool of its ports.
func ReserveAddresses() (*AddressPool, error) {
	var lastErr error
	for range maxReservationTries {
		ip := fmt.Sprintf("127.%d.%d.%d", minSecondOctet+rand.IntN(secondOctetCount), 1+rand.IntN(250), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, reservationPort))
		if err == nil {
			return &AddressPool{reservation: listener, ip: ip, port: firstPort}, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "testbed: reserve a loopback IP address")
}

// Take returns the next unused address as "IP:port". It panics when no port is left.
func (a *AddressPool) Take() string {
	a.port++
	if a.port > lastPort {
		panic("testbed: no port is left on the reserved loopback address")
	}
	return fmt.Sprintf("%s:%d", a.ip, a.port)
}

// Release makes the IP address available to other test clusters.
func (a *AddressPool) Release() { _ = a.reservation.Close() } // The kernel closes the listener at process exit at the latest.
