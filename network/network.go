// Package network is how a daemon reaches TCP. The daemons take a Network instead of calling package net, so that a
// test can run several of them in one process over connections it can cut.
package network

import (
	"context"
	"net"
	"time"
)

// DialTimeout bounds one attempt to open a connection.
const DialTimeout = 2 * time.Second

// Network opens and accepts connections by IP number and port.
type Network interface {
	// Listen accepts connections at address; port 0 takes a free one, which the listener's Addr tells.
	Listen(address string) (net.Listener, error)

	// Dial opens a connection to address, within DialTimeout and the context.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the machine's own network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
