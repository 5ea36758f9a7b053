package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// authority is a certificate authority for tests. Its files are in dir.
type authority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write(t, "authority", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue returns the TLS settings of a process whose certificate contains name and that accepts peers with one of the
// names in accepted.
func (a *authority) issue(t *testing.T, name string, accepted ...string) TLS {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	return TLS{
		Certificate: a.write(t, name+".crt", "CERTIFICATE", der),
		Key:         a.write(t, name+".key", "PRIVATE KEY", keyDER),
		Authority:   filepath.Join(a.dir, "authority"),
		Names:       accepted,
	}
}

// handshake connects a client to a server and returns the errors of both sides. The client reads one byte, since it
// learns of a rejected certificate only after its own handshake is complete.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = conn.Close() }()
		tlsConn := tls.Server(conn, server)
		_, err = tlsConn.Write([]byte{1})
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, clientErr = tls.Client(conn, client).Read(make([]byte, 1))
	_ = conn.Close()
	return <-done, clientErr
}

// Guards against a connection with a process outside the deployment. Such a process has no certificate, one of another
// authority, or one of the right authority with another name. It is accepted if only one side of a connection verifies
// its peer, or if only the authority is verified.
func TestUntrustedPeersAreRefused(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	const link = "link.internal"
	member := trusted.issue(t, link, link)
	cases := map[string]struct {
		server, client               TLS
		wantServerErr, wantClientErr string
	}{
		"member":              {server: member, client: trusted.issue(t, link, link)},
		"client: other name":  {server: member, client: trusted.issue(t, "web.internal", link), wantServerErr: "none of the names"},
		"client: other root":  {server: member, client: withAuthority(other.issue(t, link, link), trusted), wantServerErr: "unknown authority"},
		"server: other name":  {server: trusted.issue(t, "web.internal", link), client: member, wantClientErr: "none of the names"},
		"server: other root":  {server: withAuthority(other.issue(t, link, link), trusted), client: member, wantClientErr: "unknown authority"},
		"no names, same root": {server: trusted.issue(t, "a.internal"), client: trusted.issue(t, "b.internal")},
	}
	for name, c := range cases {
		server, err := c.server.ServerConfig()
		require.NoError(t, err)
		client, err := c.client.ClientConfig()
		require.NoError(t, err)
		serverErr, clientErr := handshake(t, server, client)
		if c.wantServerErr == "" && c.wantClientErr == "" {
			require.NoError(t, serverErr, name)
			require.NoError(t, clientErr, name)
			continue
		}
		require.Error(t, serverErr, name)
		require.Error(t, clientErr, name)
		require.ErrorContains(t, choose(c.wantServerErr != "", serverErr, clientErr), c.wantServerErr+c.wantClientErr, name)
	}

	server, err := member.ServerConfig()
	require.NoError(t, err)
	withoutCertificate := &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}
	serverErr, clientErr := handshake(t, server, withoutCertificate)
	require.Error(t, serverErr)
	require.Error(t, clientErr)
	tls12 := &tls.Config{MaxVersion: tls.VersionTLS12, InsecureSkipVerify: true}
	serverErr, _ = handshake(t, server, tls12)
	require.Error(t, serverErr)
}

func choose(first bool, a, b error) error {
	if first {
		return a
	}
	return b
}

// withAuthority returns t with a as the trusted authority. The process then accepts peers with certificates of a, and
// only its own certificate is untrusted.
func withAuthority(t TLS, a *authority) TLS {
	t.Authority = filepath.Join(a.dir, "authority")
	return t
}

// Guards against starting with incomplete or unreadable TLS files, and against an error for settings without TLS.
func TestTLSFiles(t *testing.T) {
	a := newAuthority(t)
	valid := a.issue(t, "x.internal")
	garbage := a.write(t, "garbage", "NOTHING", nil)
	cases := map[string]TLS{
		"no key":       {Certificate: valid.Certificate, Authority: valid.Authority},
		"names only":   {Names: []string{"x.internal"}},
		"missing":      {Certificate: valid.Certificate, Key: "none", Authority: valid.Authority},
		"no pair":      {Certificate: valid.Certificate, Key: a.issue(t, "y.internal").Key, Authority: valid.Authority},
		"no authority": {Certificate: valid.Certificate, Key: valid.Key, Authority: garbage},
		"a folder":     {Certificate: valid.Certificate, Key: valid.Key, Authority: a.dir},
	}
	for name, c := range cases {
		_, err := c.ServerConfig()
		require.Equal(t, result.SettingsTLS, result.CodeOf(err), name)
		_, err = c.ClientConfig()
		require.Equal(t, result.SettingsTLS, result.CodeOf(err), name)
	}
	config, err := TLS{}.ServerConfig()
	require.NoError(t, err)
	require.Nil(t, config)
	config, err = CallerTLS{Certificate: valid.Certificate, Key: valid.Key}.ServerConfig()
	require.NoError(t, err)
	require.Equal(t, tls.NoClientCert, config.ClientAuth)
	_, err = CallerTLS{Key: valid.Key}.ServerConfig()
	require.Equal(t, result.SettingsTLS, result.CodeOf(err))
}
