package settings

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/result"
)

// TLS configures the connections between processes: TLS 1.3 with certificates on both sides. Certificate, Key and
// Authority must be given together, or none of them. The certificates need the extended key usages for server and
// client authentication.
type TLS struct {
	// Certificate is the path of the PEM file with the certificate of this process, followed by any intermediate
	// certificates.
	Certificate string `json:"certificate" settings:"path"`
	// Key is the path of the PEM file with the private key of the certificate.
	Key string `json:"key" settings:"path"`
	// Authority is the path of the PEM file with the certificates of the certificate authorities that sign the
	// certificates of all processes.
	Authority string `json:"authority" settings:"path"`
	// Names holds DNS names, one of which the certificate of a peer must contain. If it is empty, any certificate
	// signed by the authority is accepted, which is safe only if the authority signs no other certificates.
	// Certificates needn't contain the IP address that peers connect to.
	Names []string `json:"names"`
}

// CallerTLS configures an HTTP listener: TLS 1.3 with a certificate of the server only. Certificate and Key must be
// given together, or neither of them.
type CallerTLS struct {
	// Certificate is the path of the PEM file with the certificate, followed by any intermediate certificates.
	Certificate string `json:"certificate" settings:"path"`
	// Key is the path of the PEM file with the private key of the certificate.
	Key string `json:"key" settings:"path"`
}

// Enabled reports whether any field of t is set.
func (t TLS) Enabled() bool {
	return t.Certificate != "" || t.Key != "" || t.Authority != "" || len(t.Names) > 0
}

// Enabled reports whether any field of t is set.
func (t CallerTLS) Enabled() bool {
	return t.Certificate != "" || t.Key != ""
}

// ServerConfig returns the configuration for accepting connections, or nil if TLS isn't enabled. The handshake fails
// for a peer whose certificate isn't signed by the authority or contains none of the names. Errors have the code
// result.SettingsTLS.
func (t TLS) ServerConfig() (*tls.Config, error) {
	return t.serverConfig(readRegularFile)
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

// ClientConfig returns the configuration for opening connections, or nil if TLS isn't enabled. It checks the peer and
// returns errors as ServerConfig does.
func (t TLS) ClientConfig() (*tls.Config, error) {
	config, roots, err := t.load(readRegularFile)
	if config == nil || err != nil {
		return nil, err
	}
	// The standard verification requires the address of the server in the certificate. VerifyConnection replaces it: it
	// checks the names instead of the address, makes all other checks, and also runs for resumed sessions.
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
	config, err := newServerConfig(read, t.Certificate, t.Key)
	if err != nil {
		return nil, nil, err
	}
	roots, err := loadAuthority(read, t.Authority)
	return config, roots, err
}

func newServerConfig(read readFile, certificate, key string) (*tls.Config, error) {
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

// verifier returns a function that verifies the certificate of the peer against the authority and the names.
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

// ServerConfig returns the configuration of the listener, or nil if TLS isn't enabled. Errors have the code
// result.SettingsTLS.
func (t CallerTLS) ServerConfig() (*tls.Config, error) {
	return t.serverConfig(readRegularFile)
}

func (t CallerTLS) serverConfig(read readFile) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	if t.Certificate == "" || t.Key == "" {
		return nil, result.New(result.SettingsTLS, "want certificate and key, or none of them")
	}
	return newServerConfig(read, t.Certificate, t.Key)
}

// serverConfigurer is implemented by TLS and CallerTLS.
type serverConfigurer interface {
	serverConfig(read readFile) (*tls.Config, error)
}

// checkTLS reports TLS settings from which no server configuration can be built, for example because a file is missing.
func (c *checker) checkTLS(path string, config serverConfigurer) {
	if _, err := config.serverConfig(c.read); err != nil {
		c.report(result.SettingsTLS, path, "%s", err)
	}
}
