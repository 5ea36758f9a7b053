package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/wire"
)

// newCertificate returns a self-signed certificate for both hosts and a pool that trusts it.
func newCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses:           []net.IP{net.ParseIP(entryHost), net.ParseIP(agentHost)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// Guards against links opened by a process outside the deployment: it dials without a certificate, with a certificate of
// another authority, or over plain TCP, and the server must refuse it.
func TestUntrustedPeersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, pool := newCertificate(t)
		foreign, _ := newCertificate(t)
		cases := map[string]struct {
			config    *tls.Config
			isTrusted bool
		}{
			"own certificate":   {&tls.Config{RootCAs: pool, Certificates: []tls.Certificate{own}}, true},
			"no certificate":    {&tls.Config{RootCAs: pool}, false},
			"other authority":   {&tls.Config{RootCAs: pool, Certificates: []tls.Certificate{foreign}}, false},
			"plain connection":  {nil, false},
			"distrusted server": {&tls.Config{Certificates: []tls.Certificate{own}}, false},
		}
		n := memory.New()
		listener, err := n.Host(agentHost).Listen(agentHost + ":0")
		require.NoError(t, err)
		ups := make(chan string, 10)
		server := &EntryServer{
			Hello:   func() *wire.AgentHello { return &wire.AgentHello{Agent: "agent-1"} },
			Up:      func(_ context.Context, h *wire.EntryHello) { ups <- h.GetEntry() },
			Down:    func(EntryID, error) {},
			Receive: func(context.Context, EntryID, *wire.EntryMessage) error { return nil },
		}
		config := &tls.Config{
			Certificates: []tls.Certificate{own},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    pool,
		}
		t.Cleanup(runInBackground(func(ctx context.Context) { _ = Serve(ctx, listener, config, server.Register) }))
		for name, c := range cases {
			dialer := &AgentDialer{
				Network: n.Host(entryHost),
				Address: listener.Addr().String(),
				TLS:     c.config,
				Hello:   func() *wire.EntryHello { return &wire.EntryHello{Entry: name} },
				Up:      func(context.Context, *wire.AgentHello) {},
				Down:    func(*wire.AgentHello, error) {},
				Receive: func(context.Context, *wire.AgentHello, *wire.AgentMessage) error { return nil },
			}
			stop := runInBackground(func(ctx context.Context) { _ = dialer.Run(ctx) })
			time.Sleep(5 * time.Second)
			stop()
			require.Equal(t, c.isTrusted, len(ups) > 0, name)
			for len(ups) > 0 {
				require.Equal(t, name, <-ups)
			}
		}
	})
}

func TestServeRequiresClientCertificates(t *testing.T) {
	none := func(*drpcmux.Mux) error { return nil }
	for _, config := range []*tls.Config{{}, {ClientAuth: tls.RequireAnyClientCert}, {ClientAuth: tls.VerifyClientCertIfGiven}} {
		require.ErrorIs(t, Serve(context.Background(), nil, config, none), ErrNoClientAuth)
	}
}
