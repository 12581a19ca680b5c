package trial

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// The ports of a network are the same on all its hosts and below those that the system gives to connections.
	reservationPort = 7479
	controlPort     = 7480
	frontPort       = 7481
	readyPort       = 7482
	// maxNetworkTries limits the networks that are tried for one deployment.
	maxNetworkTries = 50
	// Hosts of a network by their last octet: the first of the engines, of the plain service's instances and of the entries.
	firstEngine, firstInstance, firstEntry = 2, 64, 128
)

// network is a part of the loopback addresses that no other deployment listens on, in any process that uses this package.
type network struct {
	prefix      string
	reservation net.Listener
	entries     int
}

// openNetwork reserves a network until it is closed.
func openNetwork() (n *network, err error) {
	defer func() { err = eris.Wrap(err, "reserve loopback addresses") }()
	for range maxNetworkTries {
		n = &network{prefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))}
		if n.reservation, err = net.Listen("tcp", hostPort(n.host(1), reservationPort)); err == nil {
			return n, nil
		}
	}
	return nil, err
}

func (n *network) close() (err error) { return n.reservation.Close() }

// host returns the IP address of a host.
func (n *network) host(octet int) string { return n.prefix + strconv.Itoa(octet) }

// newEntry returns the IP address of an entry that does not exist yet.
func (n *network) newEntry() string {
	n.entries++
	return n.host(firstEntry + n.entries - 1)
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
