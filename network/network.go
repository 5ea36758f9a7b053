// Package network abstracts how daemons open and accept TCP connections. Daemons use a Network instead of calling
// package net, so that a test can run several of them in one process and interrupt the connections between them.
package network

import (
	"context"
	"net"
	"time"
)

// DialTimeout bounds a single attempt to open a connection.
const DialTimeout = 2 * time.Second

// Network opens and accepts connections. Addresses are "IP:port".
type Network interface {
	// Listen accepts connections at address. With port 0 a free port is chosen; the listener's Addr returns it.
	Listen(address string) (net.Listener, error)

	// Dial opens a connection to address. It fails after DialTimeout, or when ctx is done.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
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
