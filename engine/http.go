package engine

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

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

// HTTPOptions are the settings of an [HTTP] adapter. Zero values mean the
// defaults above.
type HTTPOptions struct {
	// MaxAnswerBytes bounds an answer that is not a stream.
	MaxAnswerBytes int64
	// MaxEventBytes bounds one line of a stream.
	MaxEventBytes int
	// MaxKVBytes bounds an exported KV cache.
	MaxKVBytes int64
	// MaxIdleConns bounds the idle connections.
	MaxIdleConns int
	// IdleTimeout closes idle connections.
	IdleTimeout time.Duration
	// Network makes the connections; nil means network.TCP.
	Network network.Network
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

// HTTP is the [Client] of the protocol that package standin speaks.
type HTTP struct {
	ObserverHolder

	base      *url.URL
	options   HTTPOptions
	transport *http.Transport
}

var (
	_ Client     = (*HTTP)(nil)
	_ Observable = (*HTTP)(nil)
)

// NewHTTP makes an adapter to the backend server at a base URL such as
// "http://127.0.0.1:9000". It fails if the address is no such URL, and
// connects to nothing.
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

// newTransport makes the transport. It takes no proxy from the environment and
// speaks HTTP/1.1 only: HTTP/2 repeats a request by itself on some refused
// streams, and one lost connection would end every attempt at once.
func newTransport(options HTTPOptions) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return options.Network.Dial(ctx, address)
		},
		Protocols:             protocols,
		DisableCompression:    true,
		MaxIdleConns:          options.MaxIdleConns,
		MaxIdleConnsPerHost:   options.MaxIdleConns,
		IdleConnTimeout:       options.IdleTimeout,
		TLSHandshakeTimeout:   network.DialTimeout,
		ExpectContinueTimeout: 0,
	}
}

// Close closes idle connections. Calls in progress go on.
func (h *HTTP) Close() { h.transport.CloseIdleConnections() }
