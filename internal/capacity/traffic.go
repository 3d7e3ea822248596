package capacity

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Sizes of TLS 1.3 records (RFC 8446, section 5).
const (
	recordHeaderBytes = 5
	// recordOverheadBytes is the size of the inner content type and the authentication
	// tag in each encrypted record.
	recordOverheadBytes = 17
)

// connectionTraffic counts the traffic of connections in both directions. It is safe
// for concurrent use.
type connectionTraffic struct {
	received, sent               atomic.Int64
	receivedPlain, sentPlain     atomic.Int64
	receivedRecords, sentRecords atomic.Int64
	connections                  atomic.Int64
}

// trafficCount is a snapshot of a [connectionTraffic].
type trafficCount struct {
	received, sent, receivedPlain, sentPlain, receivedRecords, sentRecords int64
}

func (t *connectionTraffic) snapshot() trafficCount {
	return trafficCount{
		received: t.received.Load(), sent: t.sent.Load(), receivedPlain: t.receivedPlain.Load(),
		sentPlain: t.sentPlain.Load(), receivedRecords: t.receivedRecords.Load(), sentRecords: t.sentRecords.Load(),
	}
}

// sub returns the traffic since an earlier snapshot.
func (c trafficCount) sub(earlier trafficCount) trafficCount {
	return trafficCount{
		received: c.received - earlier.received, sent: c.sent - earlier.sent,
		receivedPlain: c.receivedPlain - earlier.receivedPlain, sentPlain: c.sentPlain - earlier.sentPlain,
		receivedRecords: c.receivedRecords - earlier.receivedRecords, sentRecords: c.sentRecords - earlier.sentRecords,
	}
}

// wireBytes returns the bytes of both directions, including TLS overhead.
func (c trafficCount) wireBytes() int64 { return c.received + c.sent }

// plaintextBytes returns the bytes of both directions without TLS overhead.
func (c trafficCount) plaintextBytes() int64 { return c.receivedPlain + c.sentPlain }

// recordCount returns the number of TLS records of both directions. Go sends each
// record with a separate write and without delay, so that a record smaller than the
// segment size is one segment on the wire.
func (c trafficCount) recordCount() int64 { return c.receivedRecords + c.sentRecords }

// countingListener is a listener that counts the traffic of its connections.
type countingListener struct {
	net.Listener
	traffic *connectionTraffic
	tls     bool
}

// Accept returns the next connection with its traffic counted.
func (t *countingListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.traffic.connections.Add(1)
	return &countingConn{Conn: conn, traffic: t.traffic, tls: t.tls}, nil
}

// countingConn is a connection that counts its traffic.
type countingConn struct {
	net.Conn
	traffic                      *connectionTraffic
	tls                          bool
	receivedRecords, sentRecords recordParser
}

// Read counts the bytes received from the client.
func (t *countingConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	payload, records := t.countPayload(&t.receivedRecords, p[:n])
	t.traffic.received.Add(int64(n))
	t.traffic.receivedPlain.Add(payload)
	t.traffic.receivedRecords.Add(records)
	return n, err
}

// Write counts the bytes sent to the client.
func (t *countingConn) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	payload, records := t.countPayload(&t.sentRecords, p[:n])
	t.traffic.sent.Add(int64(n))
	t.traffic.sentPlain.Add(payload)
	t.traffic.sentRecords.Add(records)
	return n, err
}

// countPayload returns the payload bytes of the records that start in p, and their
// number. Without TLS each read or write counts as one record.
func (t *countingConn) countPayload(parser *recordParser, p []byte) (payload, started int64) {
	if !t.tls {
		return int64(len(p)), 1
	}
	return parser.parse(p)
}

// recordParser parses the TLS records of one direction.
type recordParser struct {
	header      [recordHeaderBytes]byte
	headerBytes int
	bodyLeft    int
}

// parse consumes p and returns the payload bytes of the records that start in it,
// including those of the handshake, and their number.
func (r *recordParser) parse(p []byte) (payload, started int64) {
	for len(p) > 0 {
		if r.bodyLeft > 0 {
			n := min(r.bodyLeft, len(p))
			r.bodyLeft -= n
			p = p[n:]
			continue
		}
		n := copy(r.header[r.headerBytes:], p)
		r.headerBytes += n
		p = p[n:]
		if r.headerBytes == recordHeaderBytes {
			r.headerBytes = 0
			r.bodyLeft = int(binary.BigEndian.Uint16(r.header[3:]))
			payload += int64(max(0, r.bodyLeft-recordOverheadBytes))
			started++
		}
	}
	return payload, started
}
