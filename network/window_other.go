//go:build !linux

package network

import "net"

// ClampReceiveWindow bounds how many bytes the peer of a connection may send that are not read yet. It does nothing where the system
// has no such bound.
func ClampReceiveWindow(net.Conn, int) {}

// SetReceiveBuffer sets the receive buffer of the connections of a listener, in bytes, until they are accepted and given another one.
func SetReceiveBuffer(net.Listener, int) {}
