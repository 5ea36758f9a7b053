package network

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ClampReceiveWindow bounds how many bytes the peer of a connection may send that are not read yet. It does nothing where the system
// has no such bound.
func ClampReceiveWindow(conn net.Conn, bytes int) {
	setOption(conn, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
}

// SetReceiveBuffer sets the receive buffer of the connections of a listener, in bytes, until they are accepted and given another one.
func SetReceiveBuffer(listener net.Listener, bytes int) {
	setOption(listener, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// setOption sets an option of a socket. It does nothing for what isn't a socket of the system, or has no such option.
func setOption(socket any, level, option, value int) {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := system.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), level, option, value) })
	}
}
