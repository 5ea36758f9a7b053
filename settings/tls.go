package settings

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/result"
)

// TLS secures the links between processes: TLS 1.3 with certificates on both sides. All three files or none. The
// certificates need the extended key usages of server and client.
type TLS struct {
	// Certificate is the file of this process's certificate, PEM, with any intermediate ones after it.
	Certificate string `json:"certificate" settings:"path"`
	// Key is the file of the certificate's private key, PEM.
	Key string `json:"key" settings:"path"`
	// Authority is the file of the certificates, PEM, that sign those of all processes.
	Authority string `json:"authority" settings:"path"`
	// Names are DNS names, one of which a peer's certificate must carry. Empty: any certificate of the authority
	// will do, which is right only if it signs nothing else. Peers are dialled by IP number, so the certificates
	// needn't hold the address.
	Names []string `json:"names"`
}

// CallerTLS secures an HTTP listener: TLS 1.3, with the server's certificate only. Both files or none.
type CallerTLS struct {
	// Certificate is the file of the certificate, PEM, with any intermediate ones after it.
	Certificate string `json:"certificate" settings:"path"`
	// Key is the file of the certificate's private key, PEM.
	Key string `json:"key" settings:"path"`
}

// Enabled tells whether TLS is wanted.
func (t TLS) Enabled() bool {
	return t.Certificate != "" || t.Key != "" || t.Authority != "" || len(t.Names) > 0
}

// Enabled tells whether TLS is wanted.
func (t CallerTLS) Enabled() bool {
	return t.Certificate != "" || t.Key != ""
}

// ServerConfig returns the configuration for accepting links, nil if TLS isn't given. A peer without a certificate
// of the authority and one of the names fails the handshake. Errors have code result.SettingsTLS.
func (t TLS) ServerConfig() (*tls.Config, error) {
	return t.serverConfig(readRegular)
}

func (t TLS) serverConfig(read readFile) (*tls.Config, error) {
	config, roots, err := t.load(read)
	if config == nil || err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = t.verifier(roots, x509.ExtKeyUsageClientAuth)
	return config, nil
}

// ClientConfig returns the configuration for dialling links, nil if TLS isn't given. The same checks hold.
func (t TLS) ClientConfig() (*tls.Config, error) {
	config, roots, err := t.load(readRegular)
	if config == nil || err != nil {
		return nil, err
	}
	// The standard check wants the dialled address in the certificate. VerifyConnection below does all of the
	// check but that, with the names in place of the address; it also runs for resumed sessions.
	config.InsecureSkipVerify = true
	config.VerifyConnection = t.verifier(roots, x509.ExtKeyUsageServerAuth)
	return config, nil
}

func (t TLS) load(read readFile) (*tls.Config, *x509.CertPool, error) {
	if !t.Enabled() {
		return nil, nil, nil
	}
	if t.Certificate == "" || t.Key == "" || t.Authority == "" {
		return nil, nil, result.New(result.SettingsTLS, "want certificate, key and authority, or none of them")
	}
	config, err := serverPair(read, t.Certificate, t.Key)
	if err != nil {
		return nil, nil, err
	}
	roots, err := loadAuthority(read, t.Authority)
	return config, roots, err
}

func serverPair(read readFile, certificate, key string) (*tls.Config, error) {
	certificatePEM, err := read(certificate)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsTLS, "certificate")
	}
	keyPEM, err := read(key)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsTLS, "key")
	}
	pair, err := tls.X509KeyPair(certificatePEM, keyPEM)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsTLS, "certificate and key")
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

func loadAuthority(read readFile, path string) (*x509.CertPool, error) {
	pem, err := read(path)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsTLS, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, result.New(result.SettingsTLS, "authority: no certificate in %s", path)
	}
	return roots, nil
}

// verifier checks the peer's certificate against the authority and the names.
func (t TLS) verifier(roots *x509.CertPool, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	names := slices.Clone(t.Names)
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("the peer sent no certificate")
		}
		options := x509.VerifyOptions{
			Roots:         roots,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, certificate := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(certificate)
		}
		if _, err := state.PeerCertificates[0].Verify(options); err != nil {
			return errors.Wrap(err, "the peer's certificate")
		}
		return checkNames(state.PeerCertificates[0], names)
	}
}

func checkNames(certificate *x509.Certificate, names []string) error {
	if len(names) == 0 {
		return nil
	}
	for _, name := range names {
		if certificate.VerifyHostname(name) == nil {
			return nil
		}
	}
	return errors.Errorf("the peer's certificate carries none of the names %q", names)
}

// ServerConfig returns the configuration of the listener, nil if TLS isn't given. Errors have code
// result.SettingsTLS.
func (t CallerTLS) ServerConfig() (*tls.Config, error) {
	return t.serverConfig(readRegular)
}

func (t CallerTLS) serverConfig(read readFile) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	if t.Certificate == "" || t.Key == "" {
		return nil, result.New(result.SettingsTLS, "want certificate and key, or none of them")
	}
	return serverPair(read, t.Certificate, t.Key)
}

// serverTLS is TLS or CallerTLS.
type serverTLS interface {
	serverConfig(read readFile) (*tls.Config, error)
}

// tlsFiles checks the TLS settings at a path by making their configuration.
func (c *checker) tlsFiles(path string, given serverTLS) {
	if _, err := given.serverConfig(c.read); err != nil {
		c.add(result.SettingsTLS, path, "%s", err)
	}
}
