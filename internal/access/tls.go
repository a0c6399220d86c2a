package access

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// protocols lists what servers offer in the handshake.
var protocols = []string{"h2", "http/1.1"}

// ServerConfig returns the TLS configuration of the caller or operator port. Clients are authenticated by key.
func ServerConfig(c *Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.get().certificate, nil
		},
	}
}

// PeerServerConfig returns the TLS configuration of the peer port. A peer must show a certificate that the CA signed. The CA
// in force is taken at each handshake. Session tickets are off, because a resumed session would not verify the peer again.
func PeerServerConfig(c *Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := c.get()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             protocols,
				Certificates:           []tls.Certificate{*now.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              now.pool,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// PeerClientConfig returns the TLS configuration with which this instance calls its peers. Peers are addressed by IP, their
// certificates need not name it: what identifies an instance is a certificate of the fleet's own CA.
func PeerClientConfig(c *Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.get().certificate, nil
		},
		// The standard verification is replaced by verifyPeer, because it takes a fixed CA pool and a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, c.get().pool)
		},
	}
}

func verifyPeer(state tls.ConnectionState, pool *x509.CertPool) error {
	if pool == nil {
		return errors.New("no CA is configured for peers")
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}
