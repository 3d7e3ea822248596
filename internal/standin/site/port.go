package site

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports of fronts lie below those that the system hands out by itself: one of those may
// be taken by any socket between its choice here and its use by the process.
const (
	firstPort = 12_000
	portCount = 20_000
	// maxPortAttempts is how many ports are looked at for one that is free.
	maxPortAttempts = 200
)

// nextPort counts the ports that were looked at, from a place of this process's own.
var nextPort atomic.Int64

// freePort finds a port that is free for TCP and UDP and was given to nobody here.
func freePort() (int, error) {
	for range maxPortAttempts {
		port := firstPort + (os.Getpid()*97+int(nextPort.Add(1)))%portCount
		if portFree(port) {
			return port, nil
		}
	}
	return 0, errors.Newf("none of %d ports is free", maxPortAttempts)
}

func portFree(port int) bool {
	listener, err := net.Listen("tcp", loopbackAddress(port))
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packetConn, err := net.ListenPacket("udp4", loopbackAddress(port))
	if err != nil {
		return false
	}
	return packetConn.Close() == nil
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
