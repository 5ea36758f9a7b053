package link

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/carawaypitch/carawaypitch/network"
)

// dialTimeout bounds the opening of a connection between two processes of the deployment. It allows for several round
// trips between regions.
//
// A starting instance drops the SYN packet, and TCP retransmits it only after a second. A process that waited for the
// retransmission would be cut off for that long; a second dial succeeds at once.
const dialTimeout = 400 * time.Millisecond

// Dial opens a drpc connection to addr, an IP number and port. With a TLS configuration it includes the handshake, and an
// empty ServerName means the host of addr. dialTimeout bounds the opening of the connection, network.DialTimeout the
// handshake, and ctx both. The connection outlives ctx.
//
// With TLS 1.3 a server that refuses the certificate of this side reports it after the handshake: Dial then succeeds,
// and the first call fails.
func Dial(ctx context.Context, n network.Network, addr string, config *tls.Config) (*drpcconn.Conn, error) {
	opening, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.Dial(opening, addr)
	if err != nil {
		return nil, errors.Wrap(err, "link: dial")
	}
	if config != nil {
		conn, err = clientHandshake(ctx, conn, addr, config)
		if err != nil {
			return nil, err
		}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// clientHandshake returns the TLS connection over conn. It closes conn if the handshake fails.
func clientHandshake(ctx context.Context, conn net.Conn, addr string, config *tls.Config) (net.Conn, error) {
	config = config.Clone()
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "link: address")
		}
		config.ServerName = host
	}
	secure := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "link: TLS handshake")
	}
	return secure, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxPacket}}
}
