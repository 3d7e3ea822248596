package exchange

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of connections. A peer that lost its power, or a path that dropped
// its state, sends no reset: only these find it out.
const (
	// UnackedLimit is how long sent bytes may stay unacknowledged before the
	// connection counts as broken. Round trips lie under 10 ms and a lost packet
	// is sent again after 200, 400 and 800 ms: three losses in a row pass.
	UnackedLimit = 1500 * kumquatlug.Millis(1)
	// ProbeIdle and ProbeEvery are the rhythm of keep-alive probes, in whole
	// seconds as the kernel counts them; with ProbeCount a silent peer is found
	// within three seconds.
	ProbeIdle  = 1 * kumquatlug.Second
	ProbeEvery = 1 * kumquatlug.Second
	ProbeCount = 2
	// DialTimeout is how long opening one connection may take: many round trips
	// of 10 ms, and less than the second after which a lost opening packet would
	// be sent again. A new try is quicker than that.
	DialTimeout = 400 * kumquatlug.Millis(1)
)

// Dialer opens connections that find out by themselves when the peer is gone.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: ProbeIdle.Duration(), Interval: ProbeEvery.Duration(), Count: ProbeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedLimit))
			})
			return errors.CombineErrors(err, sockoptErr)
		},
	}
}

// maxDialAttempts is how often a connection is tried: one opening packet in 30 may be
// lost on a bad link, two in a row are one in a thousand.
const maxDialAttempts = 2

// dial opens a connection to address.
func dial(ctx context.Context, dialer *net.Dialer, address string) (net.Conn, error) {
	var err error
	for range maxDialAttempts {
		var c net.Conn
		if c, err = dialer.DialContext(ctx, "tcp", address); err == nil {
			return c, nil
		}
		var netErr net.Error
		if ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			break
		}
	}
	return nil, err
}
