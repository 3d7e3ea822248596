package capacity

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Sizes of TLS 1.3 records (RFC 8446, section 5).
const (
	recordHeader = 5
	// recordExtra is the inner type and the tag that each sealed record adds.
	recordExtra = 17
)

// traffic counts what passes through connections, in both directions.
type traffic struct {
	received, sent               atomic.Int64
	receivedPlain, sentPlain     atomic.Int64
	receivedRecords, sentRecords atomic.Int64
	connections                  atomic.Int64
}

// count is a reading of traffic.
type count struct {
	received, sent, receivedPlain, sentPlain, receivedRecords, sentRecords int64
}

func (t *traffic) read() count {
	return count{
		received: t.received.Load(), sent: t.sent.Load(), receivedPlain: t.receivedPlain.Load(),
		sentPlain: t.sentPlain.Load(), receivedRecords: t.receivedRecords.Load(), sentRecords: t.sentRecords.Load(),
	}
}

// since returns what passed after an earlier reading.
func (c count) since(before count) count {
	return count{
		received: c.received - before.received, sent: c.sent - before.sent,
		receivedPlain: c.receivedPlain - before.receivedPlain, sentPlain: c.sentPlain - before.sentPlain,
		receivedRecords: c.receivedRecords - before.receivedRecords, sentRecords: c.sentRecords - before.sentRecords,
	}
}

// both returns the bytes of both directions, TLS included.
func (c count) both() int64 { return c.received + c.sent }

// plain returns the bytes of both directions that TLS carries.
func (c count) plain() int64 { return c.receivedPlain + c.sentPlain }

// records returns the TLS records of both directions. Go sends each with a
// write of its own and without delay, so that a record below the segment size
// is a segment on the wire.
func (c count) records() int64 { return c.receivedRecords + c.sentRecords }

// tap is a listener whose connections are counted.
type tap struct {
	net.Listener
	traffic *traffic
	tls     bool
}

// Accept returns the next connection, counted.
func (t *tap) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.traffic.connections.Add(1)
	return &tapped{Conn: conn, traffic: t.traffic, tls: t.tls}, nil
}

// tapped is a counted connection.
type tapped struct {
	net.Conn
	traffic *traffic
	tls     bool
	in, out records
}

// Read counts what comes from the client.
func (t *tapped) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	carried, records := t.carried(&t.in, p[:n])
	t.traffic.received.Add(int64(n))
	t.traffic.receivedPlain.Add(carried)
	t.traffic.receivedRecords.Add(records)
	return n, err
}

// Write counts what goes to the client.
func (t *tapped) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	carried, records := t.carried(&t.out, p[:n])
	t.traffic.sent.Add(int64(n))
	t.traffic.sentPlain.Add(carried)
	t.traffic.sentRecords.Add(records)
	return n, err
}

// carried returns how many bytes the records in p carry and how many begin; a
// connection without TLS has one record for each read or write.
func (t *tapped) carried(r *records, p []byte) (carried, begun int64) {
	if !t.tls {
		return int64(len(p)), 1
	}
	return r.take(p)
}

// records follows the TLS records of one direction.
type records struct {
	header [recordHeader]byte
	filled int
	body   int
}

// take follows p and returns how many bytes the records that begin in it carry,
// the handshake's among them, and how many there are.
func (r *records) take(p []byte) (carried, begun int64) {
	for len(p) > 0 {
		if r.body > 0 {
			n := min(r.body, len(p))
			r.body -= n
			p = p[n:]
			continue
		}
		n := copy(r.header[r.filled:], p)
		r.filled += n
		p = p[n:]
		if r.filled == recordHeader {
			r.filled = 0
			r.body = int(binary.BigEndian.Uint16(r.header[3:]))
			carried += int64(max(0, r.body-recordExtra))
			begun++
		}
	}
	return carried, begun
}
