//go:build !linux

package network

import "net"

// Unacknowledged returns how many bytes sent on a connection its peer has not acknowledged, 0 if unknown.
func Unacknowledged(net.Conn) int { return 0 }
