package peer

import (
	"context"
	"net"
	"time"
)

// keepAliveIdle is the idle time after which keep-alive probes start. They detect a
// peer that disappeared without closing its connection during an idle stream.
const keepAliveIdle = 5 * time.Second

func dialContext(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: timeout,
		// A replaced VM sends no reset. Without probes, a stream that waits for its next
		// token would wait forever; with them the connection fails after four
		// unanswered probes, one per second.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 4,
		},
	}
	return d.DialContext
}
