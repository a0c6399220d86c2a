package access

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// alpnProtocols lists the application protocols that servers offer in the TLS handshake, in order of preference.
var alpnProtocols = []string{"h2", "http/1.1"}

// ServerConfig returns the TLS configuration of the caller or operator port. Clients present no certificate; they are
// authenticated by key.
func ServerConfig(c *Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: alpnProtocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.get().certificate, nil
		},
	}
}

// PeerServerConfig returns the TLS configuration of the peer port. A peer must present a certificate signed by the CA; without a CA
// none is accepted. Each handshake uses the certificate and CA that are current at that time. Session tickets are disabled, because a resumed session
// would not verify the peer again.
func PeerServerConfig(c *Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := c.get()
			peerCAs := current.peerCAs
			if peerCAs == nil {
				// Without a pool, crypto/tls would verify peers against the CAs that the machine trusts.
				peerCAs = x509.NewCertPool()
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             alpnProtocols,
				Certificates:           []tls.Certificate{*current.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              peerCAs,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// PeerClientConfig returns the TLS configuration with which this instance calls its peers. Peers are addressed by IP, and their
// certificates need not name that address: a certificate signed by the fleet's own CA is enough to identify an instance.
func PeerClientConfig(c *Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.get().certificate, nil
		},
		// VerifyConnection replaces the standard verification, which requires a host name and a fixed CA pool.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, c.get().peerCAs)
		},
	}
}

// verifyPeer verifies the server's certificate chain against the CA pool. It checks no host name.
func verifyPeer(state tls.ConnectionState, peerCAs *x509.CertPool) error {
	if peerCAs == nil {
		return errors.New("no CA file is configured for the peer port")
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         peerCAs,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify the peer certificate")
}
