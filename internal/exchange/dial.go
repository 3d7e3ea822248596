package exchange

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits that detect a dead connection. A peer that lost power, or a network path
// that dropped its connection state, sends no reset; only timeouts reveal it.
const (
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT). Round trips take less than
	// 10 ms and a lost packet is retransmitted after 200, 400 and 800 ms, so the
	// connection survives three losses in a row.
	UnackedTimeout = 1500 * kumquatlug.Millis(1)
	// AcceptedUnackedTimeout is the same for connections that send responses. A receiver
	// that stops reading because its own client pauses fills the window, which counts as
	// unacknowledged bytes.
	AcceptedUnackedTimeout = 10 * kumquatlug.Second
	// ProbeIdle is the idle time before the first keep-alive probe and ProbeInterval
	// the interval between probes, both in whole seconds as the kernel counts
	// them. With ProbeCount unanswered probes a dead peer is detected within three
	// seconds.
	ProbeIdle     = 1 * kumquatlug.Second
	ProbeInterval = 1 * kumquatlug.Second
	ProbeCount    = 2
	// DialTimeout bounds one attempt to connect. It covers many round trips of
	// 10 ms but is shorter than the second after which the kernel retransmits a
	// lost SYN: a new attempt is faster than that retransmission.
	DialTimeout = 400 * kumquatlug.Millis(1)
)

// Dialer returns a dialer whose connections fail by themselves when the peer is
// unreachable: it sets a dial timeout, keep-alive probes and TCP_USER_TIMEOUT.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout.Duration(), KeepAliveConfig: keepAlive(), Control: setUnackedTimeout(UnackedTimeout),
	}
}

// ListenConfig returns a listen config whose accepted connections fail by themselves when
// the peer is unreachable, as those of [Dialer] do, but later: see [AcceptedUnackedTimeout].
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUnackedTimeout(AcceptedUnackedTimeout)}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: ProbeIdle.Duration(), Interval: ProbeInterval.Duration(), Count: ProbeCount,
	}
}

// setUnackedTimeout returns a function that sets TCP_USER_TIMEOUT; connections inherit it
// from their listener.
func setUnackedTimeout(timeout kumquatlug.Millis) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setSocketTimeout(raw, int(timeout)) }
}

// maxDialAttempts bounds the attempts to connect. A bad link loses one SYN in 30,
// and two in a row about once in a thousand connections.
const maxDialAttempts = 2

// dial connects to address and retries only after a timeout. If the peer can't be reached, the error is marked as
// [kumquatlug.ErrUnreachable].
func dial(ctx context.Context, dialer *net.Dialer, address string) (net.Conn, error) {
	var err error
	for range maxDialAttempts {
		var c net.Conn
		if c, err = DialContext(dialer)(ctx, "tcp", address); err == nil {
			return c, nil
		}
		var netErr net.Error
		if ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			break
		}
	}
	if ctx.Err() == nil && !lacksResources(err) {
		err = errors.Mark(err, kumquatlug.ErrUnreachable)
	}
	return nil, err
}

// lacksResources reports whether this process could not connect to any peer.
func lacksResources(err error) bool {
	for _, own := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}
