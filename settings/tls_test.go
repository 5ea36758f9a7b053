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

// authority signs certificates for tests.
type authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{folder: t.TempDir()}
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
	path := filepath.Join(a.folder, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue returns the settings of a process whose certificate carries name, and that accepts the names of accepted.
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
		Authority:   filepath.Join(a.folder, "authority"),
		Names:       accepted,
	}
}

// handshake returns the errors of both sides; a byte is read so that the client hears of a refusal.
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
		secured := tls.Server(conn, server)
		_, err = secured.Write([]byte{1})
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, clientErr = tls.Client(conn, client).Read(make([]byte, 1))
	_ = conn.Close()
	return <-done, clientErr
}

// Symptom: a process that isn't part of the deployment takes work, or gives it.
// Sequence: it connects to, or listens at, an address of the deployment, with no certificate, one of its own
// authority, or one of the right authority with another name.
// Cause: a check of one side, or of the authority only.
func TestStrangersAreRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	const link = "link.internal"
	member := ours.issue(t, link, link)
	cases := map[string]struct {
		server, client       TLS
		serverSays, peerSays string
	}{
		"member":              {server: member, client: ours.issue(t, link, link)},
		"client: other name":  {server: member, client: ours.issue(t, "web.internal", link), serverSays: "none of the names"},
		"client: other root":  {server: member, client: withRoot(theirs.issue(t, link, link), ours), serverSays: "unknown authority"},
		"server: other name":  {server: ours.issue(t, "web.internal", link), client: member, peerSays: "none of the names"},
		"server: other root":  {server: withRoot(theirs.issue(t, link, link), ours), client: member, peerSays: "unknown authority"},
		"no names, same root": {server: ours.issue(t, "a.internal"), client: ours.issue(t, "b.internal")},
	}
	for name, c := range cases {
		server, err := c.server.ServerConfig()
		require.NoError(t, err)
		client, err := c.client.ClientConfig()
		require.NoError(t, err)
		serverErr, clientErr := handshake(t, server, client)
		if c.serverSays == "" && c.peerSays == "" {
			require.NoError(t, serverErr, name)
			require.NoError(t, clientErr, name)
			continue
		}
		require.Error(t, serverErr, name)
		require.Error(t, clientErr, name)
		require.ErrorContains(t, pick(c.serverSays != "", serverErr, clientErr), c.serverSays+c.peerSays, name)
	}

	server, err := member.ServerConfig()
	require.NoError(t, err)
	bare := &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}
	serverErr, clientErr := handshake(t, server, bare)
	require.Error(t, serverErr)
	require.Error(t, clientErr)
	old := &tls.Config{MaxVersion: tls.VersionTLS12, InsecureSkipVerify: true}
	serverErr, _ = handshake(t, server, old)
	require.Error(t, serverErr)
}

func pick(first bool, a, b error) error {
	if first {
		return a
	}
	return b
}

// withRoot makes a stranger trust our authority, so that only its own certificate is wrong.
func withRoot(t TLS, a *authority) TLS {
	t.Authority = filepath.Join(a.folder, "authority")
	return t
}

func TestTLSFiles(t *testing.T) {
	a := newAuthority(t)
	whole := a.issue(t, "x.internal")
	garbage := a.write(t, "garbage", "NOTHING", nil)
	cases := map[string]TLS{
		"no key":       {Certificate: whole.Certificate, Authority: whole.Authority},
		"names only":   {Names: []string{"x.internal"}},
		"missing":      {Certificate: whole.Certificate, Key: "none", Authority: whole.Authority},
		"no pair":      {Certificate: whole.Certificate, Key: a.issue(t, "y.internal").Key, Authority: whole.Authority},
		"no authority": {Certificate: whole.Certificate, Key: whole.Key, Authority: garbage},
		"a folder":     {Certificate: whole.Certificate, Key: whole.Key, Authority: a.folder},
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
	config, err = CallerTLS{Certificate: whole.Certificate, Key: whole.Key}.ServerConfig()
	require.NoError(t, err)
	require.Equal(t, tls.NoClientCert, config.ClientAuth)
	_, err = CallerTLS{Key: whole.Key}.ServerConfig()
	require.Equal(t, result.SettingsTLS, result.CodeOf(err))
}
