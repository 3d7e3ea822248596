package peer

import (
	"context"
	"net"
	"time"
)

// keepAliveIdle finds a peer that vanished without a word below a silent stream.
const keepAliveIdle = 5 * time.Second

func dialContext(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: timeout,
		// A VM that is replaced sends no reset. Without probes a stream that
		// waits for its next token would wait for ever; with them the
		// connection fails after four times a second of silence.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 4,
		},
	}
	return d.DialContext
}
