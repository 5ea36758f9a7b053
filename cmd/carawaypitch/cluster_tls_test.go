package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// linkName is the DNS name in the certificates of all processes of a deployment.
const linkName = "link.internal"

// certificateAuthority signs the certificates of one deployment and stores them as PEM files.
type certificateAuthority struct {
	t           testing.TB
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t testing.TB) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, folder: t.TempDir(), key: newPrivateKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	require.NoError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write("authority", "CERTIFICATE", der)
	return a
}

func newPrivateKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func (a *certificateAuthority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.folder, name+".pem")
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue returns TLS settings with a certificate of this authority, which trust the certificates of another one.
func (a *certificateAuthority) issue(trusted *certificateAuthority) settings.TLS {
	a.t.Helper()
	key := newPrivateKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{linkName},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	return settings.TLS{
		Certificate: a.write("process", "CERTIFICATE", der),
		Key:         a.write("process-key", "PRIVATE KEY", keyDER),
		Authority:   filepath.Join(trusted.folder, "authority.pem"),
		Names:       []string{linkName},
	}
}

// All links use TLS. A process with the right name in a certificate of another authority connects to control and to the
// agents. If a link service does not verify its peer, a foreign process joins the deployment; if it refuses a peer without
// a log line and a metric, operators cannot find out why a member is excluded.
func TestLinksWithTLS(t *testing.T) {
	c := newCluster(t)
	deploymentCA, foreignCA := newAuthority(t), newAuthority(t)
	c.tls = deploymentCA.issue(deploymentCA)
	c.startAll()
	checked, err := c.caller(0).gateCheck()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, checked.Status, "%s", checked.Body)
	issued, err := c.caller(1).issuePass("pass-tls")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, issued.Status, "%s", issued.Body)
	require.Equal(t, 1, c.passRuns("pass-tls"))

	untrusted := foreignCA.issue(deploymentCA)
	for _, address := range c.controlLinks {
		c.requireLinksRefused(address, untrusted)
		require.NoError(t, callForward(t, address, c.tls), "a member of the deployment must be accepted")
	}
	for _, address := range c.agentLinks {
		c.requireLinksRefused(address, untrusted)
	}
	for i, p := range c.controls {
		c.requireRefusalsReported(p, c.controlURLs[i])
	}
	for i, p := range c.agents {
		c.requireRefusalsReported(p, c.agentURLs[i])
	}
	c.tls = untrusted
	c.addEntry(len(c.entries))
	last := len(c.entries) - 1
	c.entries[last].start()
	c.eventually(func() bool { return returnsOK(c.entryURLs[last] + "/healthz") }, "the entry with the foreign certificate does not start")
	refused, err := c.caller(last).gateCheck()
	require.NoError(t, err)
	require.NotEqual(t, http.StatusOK, refused.Status, "%s", refused.Body)
}

// requireLinksRefused calls the link services of a process with a certificate that it must reject. It accepts any error,
// since the TLS alert may get lost when the server closes the connection.
func (c *cluster) requireLinksRefused(address string, untrusted settings.TLS) {
	c.t.Helper()
	require.Error(c.t, callForward(c.t, address, untrusted))
	require.Error(c.t, callSession(c.t, address, untrusted))
}

// callForward calls the replica link service with an empty command. It returns an error only if the call fails; a rejected
// command is a reply.
func callForward(t testing.TB, address string, credentials settings.TLS) error {
	return callLink(t, address, credentials, func(ctx context.Context, conn drpc.Conn) error {
		_, err := wire.NewDRPCReplicaLinkClient(conn).Forward(ctx, &wire.Propose{Command: &wire.Command{}})
		return err
	})
}

// callSession opens a session at the control link service, which entries and agents use, and waits for the first message.
func callSession(t testing.TB, address string, credentials settings.TLS) error {
	return callLink(t, address, credentials, func(ctx context.Context, conn drpc.Conn) error {
		stream, err := wire.NewDRPCControlLinkClient(conn).Session(ctx)
		if err != nil {
			return err
		}
		_, err = stream.Recv()
		return err
	})
}

// callLink connects to a link address with the given credentials and runs call on the connection.
func callLink(t testing.TB, address string, credentials settings.TLS, call func(context.Context, drpc.Conn) error) error {
	t.Helper()
	config, err := credentials.ClientConfig()
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, network.TCP{}, address, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	return call(ctx, conn)
}

// requireRefusalsReported requires that a process reports refused peers in its log and in its metrics.
func (c *cluster) requireRefusalsReported(p *process, url string) {
	c.t.Helper()
	c.eventually(func() bool {
		text := p.log.String()
		return strings.Contains(text, "link_peer_refused") && strings.Contains(text, "unknown authority")
	}, "%s does not log the refused peer", url)
	got, err := callerClient.Get(url + "/metrics")
	require.NoError(c.t, err)
	defer func() { _ = got.Body.Close() }()
	page, err := io.ReadAll(got.Body)
	require.NoError(c.t, err)
	require.Regexp(c.t, `(?m)^carawaypitch_link_peers_refused_total [1-9]`, string(page))
}
