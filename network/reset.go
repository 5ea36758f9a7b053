package network

import (
	"crypto/tls"
	"net"
)

// lingerer is a connection whose unsent data can be dropped at its close. *net.TCPConn is one.
type lingerer interface {
	net.Conn
	SetLinger(seconds int) error
}

var _ lingerer = (*net.TCPConn)(nil)

// Reset closes a connection so that its peer sees an error instead of an ordinary end. What the peer has not
// acknowledged yet is lost. A connection that can't be reset is closed.
func Reset(conn net.Conn) {
	if tcp, ok := underlying(conn).(lingerer); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
	_ = conn.Close()
}

// SetResetOnClose sets whether the peer sees an error instead of an ordinary end when the connection is closed, also by the kernel
// when the process ends. It does nothing for a connection that can't be reset.
func SetResetOnClose(conn net.Conn, reset bool) {
	if tcp, ok := underlying(conn).(lingerer); ok {
		seconds := -1
		if reset {
			seconds = 0
		}
		_ = tcp.SetLinger(seconds)
	}
}

// CloseWrite ends the sending side of a connection: its peer reads what was sent, and then the end. It does nothing for a
// connection whose sides don't end apart.
func CloseWrite(conn net.Conn) {
	for {
		if closer, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = closer.CloseWrite()
			return
		}
		outer, ok := conn.(wrapper)
		if !ok {
			return
		}
		conn = outer.NetConn()
	}
}

// Inside returns the connection that a connection wraps, or the connection itself if it wraps none.
func Inside(conn net.Conn) net.Conn {
	if outer, ok := conn.(wrapper); ok {
		return outer.NetConn()
	}
	return conn
}

// wrapper is a connection that wraps another one.
type wrapper interface{ NetConn() net.Conn }

var _ wrapper = (*tls.Conn)(nil)

// underlying returns the connection inside all wrappers.
func underlying(conn net.Conn) net.Conn {
	for {
		outer, ok := conn.(wrapper)
		if !ok {
			return conn
		}
		conn = outer.NetConn()
	}
}
