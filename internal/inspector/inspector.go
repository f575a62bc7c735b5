// Package inspector reads the state of the socket of a TCP connection, without changing it.
package inspector

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread returns how many bytes can be read from a connection, of which it counts one at most; 0 at
// the end of the connection. The error is EAGAIN if there is nothing to read.
func Unread(c net.Conn) (n int, err error) {
	cerr := control(c, func(fd int) error {
		var buf [1]byte
		n, _, err = unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err
	})
	return max(n, 0), cerr
}

// Unacknowledged returns the number of bytes that were written to a connection and not acknowledged
// by the peer's host.
func Unacknowledged(c net.Conn) (n int, err error) {
	cerr := control(c, func(fd int) error {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, cerr
}

// IsClosedByPeer reports whether the peer has closed a connection in order and it has not been reset
// since.
func IsClosedByPeer(c net.Conn) bool {
	isClosed := false
	err := control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
		return err
	})
	return err == nil && isClosed
}

// control calls a function with the descriptor of a connection and returns its error.
func control(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return syscall.ENOTSUP
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	if cerr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}
