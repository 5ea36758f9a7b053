package network

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes sent on a connection its peer has not acknowledged, 0 if unknown.
func Unacknowledged(conn net.Conn) int {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	if raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return queued
}
