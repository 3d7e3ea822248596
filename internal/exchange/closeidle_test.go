package exchange

import (
	"bufio"
	"net"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// BenchmarkCloseIdle measures the check of one idle connection, of which a gateway may have thousands each second.
func BenchmarkCloseIdle(b *testing.B) {
	const conns = 500
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	pool := New(Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: conns})
	for range conns {
		raw, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = raw.Close() }()
		head := &headReader{conn: raw}
		pool.putIdle(&conn{Conn: raw, address: "a", head: head, reader: bufio.NewReader(head)}, kumquatlug.Hour)
	}
	for b.Loop() {
		pool.CloseIdle(func(string) bool { return true })
	}
	if kept := len(pool.idle["a"]); kept != conns {
		b.Errorf("%d of %d connections kept", kept, conns)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/conns, "ns/connection")
}
