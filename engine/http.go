package engine

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/network"
)

// Defaults of [HTTPOptions].
const (
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxEventBytes  = 1 << 20
	DefaultMaxKVBytes     = 64 << 20
	DefaultMaxIdleConns   = 32
	DefaultIdleTimeout    = 30 * time.Second
)

// maxHeadBytes bounds the head of an answer, together with the interim answers before it.
const maxHeadBytes = 32 << 10

// HTTPOptions are the settings of an [HTTP] adapter. Zero values mean the defaults above.
type HTTPOptions struct {
	// MaxAnswerBytes limits a response that is not a stream.
	MaxAnswerBytes int64
	// MaxEventBytes limits one line of a stream and the data of one event.
	MaxEventBytes int
	// MaxKVBytes limits an exported KV cache.
	MaxKVBytes int64
	// MaxIdleConns limits the number of idle connections.
	MaxIdleConns int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// Network makes the connections; nil means network.TCP.
	Network network.Network
	// ReadBufferBytes bounds what the network buffers of a response that is not read; 0 leaves it to the system.
	ReadBufferBytes int
	// Budget bounds what the answers of all servers take while they are read; nil means no bound.
	Budget *framing.Budget
	// WriteTimeout bounds the time for which the server may read nothing of a request; 0 means no bound.
	WriteTimeout time.Duration
}

func (o HTTPOptions) withDefaults() HTTPOptions {
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.MaxEventBytes <= 0 {
		o.MaxEventBytes = DefaultMaxEventBytes
	}
	if o.MaxKVBytes <= 0 {
		o.MaxKVBytes = DefaultMaxKVBytes
	}
	if o.MaxIdleConns <= 0 {
		o.MaxIdleConns = DefaultMaxIdleConns
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Network == nil {
		o.Network = network.TCP{}
	}
	return o
}

// HTTP is the [Client] for the protocol that package standin implements.
type HTTP struct {
	ObserverHolder

	base      *url.URL
	options   HTTPOptions
	transport framing.Transport
}

var (
	_ Client     = (*HTTP)(nil)
	_ Suspender  = (*HTTP)(nil)
	_ Observable = (*HTTP)(nil)
)

// NewHTTP returns an adapter for the backend server at a base URL such as
// "http://127.0.0.1:9000". It fails if address is not an http or https URL. It does not open a
// connection.
func NewHTTP(address string, options HTTPOptions) (*HTTP, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "engine address")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Errorf("engine address %q is no http URL", address)
	}
	options = options.withDefaults()
	return &HTTP{
		base:      base,
		options:   options,
		transport: newTransport(options),
	}, nil
}

// newTransport returns the transport. It ignores proxy settings of the environment and speaks
// HTTP/1.1 only: HTTP/2 retries some refused streams by itself, and one lost connection would
// end all attempts at the same time.
func newTransport(options HTTPOptions) framing.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return framing.NewTransport(&http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := options.Network.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			if buffered, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok && options.ReadBufferBytes > 0 {
				_ = buffered.SetReadBuffer(options.ReadBufferBytes)
			}
			if options.WriteTimeout <= 0 {
				return conn, nil
			}
			return network.BoundWrites(conn, options.WriteTimeout), nil
		},
		Protocols:             protocols,
		DisableCompression:    true,
		MaxIdleConns:          options.MaxIdleConns,
		MaxIdleConnsPerHost:   options.MaxIdleConns,
		IdleConnTimeout:       options.IdleTimeout,
		TLSHandshakeTimeout:   network.DialTimeout,
		ExpectContinueTimeout: 0,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// Close closes idle connections. Calls in progress continue.
func (h *HTTP) Close() { h.transport.CloseIdleConnections() }
