package capacity

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Sizes of TLS 1.3 records (RFC 8446, section 5).
const (
	recordHeaderBytes = 5
	// recordOverheadBytes is the inner type and the tag that each sealed record adds.
	recordOverheadBytes = 17
)

// connectionTraffic counts what passes through connections, in both directions.
type connectionTraffic struct {
	received, sent               atomic.Int64
	receivedPlain, sentPlain     atomic.Int64
	receivedRecords, sentRecords atomic.Int64
	connections                  atomic.Int64
}

// trafficCount is a reading of traffic.
type trafficCount struct {
	received, sent, receivedPlain, sentPlain, receivedRecords, sentRecords int64
}

func (t *connectionTraffic) snapshot() trafficCount {
	return trafficCount{
		received: t.received.Load(), sent: t.sent.Load(), receivedPlain: t.receivedPlain.Load(),
		sentPlain: t.sentPlain.Load(), receivedRecords: t.receivedRecords.Load(), sentRecords: t.sentRecords.Load(),
	}
}

// sub returns what passed after an earlier reading.
func (c trafficCount) sub(earlier trafficCount) trafficCount {
	return trafficCount{
		received: c.received - earlier.received, sent: c.sent - earlier.sent,
		receivedPlain: c.receivedPlain - earlier.receivedPlain, sentPlain: c.sentPlain - earlier.sentPlain,
		receivedRecords: c.receivedRecords - earlier.receivedRecords, sentRecords: c.sentRecords - earlier.sentRecords,
	}
}

// wireBytes returns the bytes of both directions, TLS included.
func (c trafficCount) wireBytes() int64 { return c.received + c.sent }

// plaintextBytes returns the bytes of both directions that TLS carries.
func (c trafficCount) plaintextBytes() int64 { return c.receivedPlain + c.sentPlain }

// recordCount returns the TLS records of both directions. Go sends each with a
// write of its own and without delay, so that a record below the segment size
// is a segment on the wire.
func (c trafficCount) recordCount() int64 { return c.receivedRecords + c.sentRecords }

// countingListener is a listener whose connections are counted.
type countingListener struct {
	net.Listener
	traffic *connectionTraffic
	tls     bool
}

// Accept returns the next connection, counted.
func (t *countingListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.traffic.connections.Add(1)
	return &countingConn{Conn: conn, traffic: t.traffic, tls: t.tls}, nil
}

// countingConn is a counted connection.
type countingConn struct {
	net.Conn
	traffic                      *connectionTraffic
	tls                          bool
	receivedRecords, sentRecords recordParser
}

// Read counts what comes from the client.
func (t *countingConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	carried, records := t.payload(&t.receivedRecords, p[:n])
	t.traffic.received.Add(int64(n))
	t.traffic.receivedPlain.Add(carried)
	t.traffic.receivedRecords.Add(records)
	return n, err
}

// Write counts what goes to the client.
func (t *countingConn) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	carried, records := t.payload(&t.sentRecords, p[:n])
	t.traffic.sent.Add(int64(n))
	t.traffic.sentPlain.Add(carried)
	t.traffic.sentRecords.Add(records)
	return n, err
}

// payload returns how many bytes the records in p carry and how many begin; a
// connection without TLS has one record for each read or write.
func (t *countingConn) payload(parser *recordParser, p []byte) (payload, started int64) {
	if !t.tls {
		return int64(len(p)), 1
	}
	return parser.parse(p)
}

// recordParser follows the TLS records of one direction.
type recordParser struct {
	header      [recordHeaderBytes]byte
	headerBytes int
	bodyLeft    int
}

// parse follows p and returns how many bytes the records that begin in it carry,
// the handshake's among them, and how many there are.
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
