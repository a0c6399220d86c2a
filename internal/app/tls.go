package app

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// DutyCertificates names the duty that reloads certificates.
const DutyCertificates = "certificates"

// certificateInterval is the time between two looks at the certificate files.
const certificateInterval = 10 * time.Second

// tlsSet holds the TLS configuration of each port; nil means plain HTTP.
type tlsSet struct {
	caller, operator, peerServer, peerClient *tls.Config
	loaded                                   []*access.Certificates
	log                                      *slog.Logger
}

// newTLS loads the certificates that the settings name.
func newTLS(set api.TLSSettings, log *slog.Logger) (*tlsSet, error) {
	t := &tlsSet{log: log}
	caller, err := t.load("caller", access.Files{Cert: set.CallerCertFile, Key: set.CallerKeyFile})
	if err != nil {
		return nil, err
	}
	operator, err := t.load("operator", access.Files{Cert: set.OperatorCertFile, Key: set.OperatorKeyFile})
	if err != nil {
		return nil, err
	}
	peer, err := t.load("peer", access.Files{Cert: set.PeerCertFile, Key: set.PeerKeyFile, CA: set.PeerCAFile})
	if err != nil {
		return nil, err
	}
	if caller != nil {
		t.caller = access.ServerConfig(caller)
	}
	if operator != nil {
		t.operator = access.ServerConfig(operator)
	}
	if peer != nil {
		t.peerServer = access.PeerServerConfig(peer)
		t.peerClient = access.PeerClientConfig(peer)
	}
	return t, nil
}

func (t *tlsSet) load(port string, files access.Files) (*access.Certificates, error) {
	if files.Cert == "" {
		return nil, nil
	}
	certificates, err := access.LoadCertificates(files)
	if err != nil {
		return nil, errors.Wrapf(err, "certificates of the %s port", port)
	}
	t.loaded = append(t.loaded, certificates)
	return certificates, nil
}

// duty returns the periodic duty that reloads changed files.
func (t *tlsSet) duty() worker.Duty {
	return worker.Duty{Name: DutyCertificates, Interval: worker.Every(certificateInterval), Timeout: certificateInterval, Run: t.reload}
}

func (t *tlsSet) reload(context.Context) error {
	var first error
	for _, certificates := range t.loaded {
		changed, err := certificates.Reload()
		if err != nil && first == nil {
			first = err
		}
		if changed {
			t.log.Info("certificate reloaded", "not_after", certificates.NotAfter())
		}
	}
	return first
}

// harden bounds an HTTP server by the settings.
func (i *Instance) harden(server *http.Server) {
	access.Harden(server, access.Bounds{
		MaxHeaderBytes: i.set.Limits.MaxHeaderBytes,
		MaxBodyBytes:   int64(i.set.Limits.MaxBodyBytes),
	})
}
