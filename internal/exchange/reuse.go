package exchange

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// reusable reports whether an idle connection is still open and has received
// nothing. Bytes received after a response belong to no request, and an EOF means
// that the peer closed the connection.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errno == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
