package site

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Gateways get ports below the operating system's ephemeral range: another socket could
// take an ephemeral port between its selection here and its use by the gateway process.
const (
	firstPort = 12_000
	portCount = 20_000
	// maxPortAttempts is the maximum number of ports tried for a free one.
	maxPortAttempts = 200
)

// nextPort counts the ports tried. The process ID offsets the ports, so that
// each process starts at a different one.
var nextPort atomic.Int64

// freePort returns a port that is free for TCP and UDP and was not returned
// before.
func freePort() (int, error) {
	for range maxPortAttempts {
		port := firstPort + (os.Getpid()*97+int(nextPort.Add(1)))%portCount
		if portFree(port) {
			return port, nil
		}
	}
	return 0, errors.Newf("no free port after %d attempts", maxPortAttempts)
}

// FreeAddress returns a loopback address whose port is free for TCP and UDP and was not returned
// before, in host:port form.
func FreeAddress() (string, error) {
	port, err := freePort()
	return loopbackAddress(port), err
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
