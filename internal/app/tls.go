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

// DutyCertificates names the duty that reloads changed certificate files.
const DutyCertificates = "certificates"

// certificateReloadInterval is the time between two checks of the certificate files for changes.
const certificateReloadInterval = 10 * time.Second

// portTLS holds the TLS configuration of each port; nil means plain HTTP.
type portTLS struct {
	caller, operator, peerServer, peerClient *tls.Config
	reloadable                               []*access.Certificates
	log                                      *slog.Logger
}

// newTLS loads the certificate files named in the settings.
func newTLS(tlsSettings api.TLSSettings, log *slog.Logger) (*portTLS, error) {
	t := &portTLS{log: log}
	caller, err := t.load("caller", access.Files{Cert: tlsSettings.CallerCertFile, Key: tlsSettings.CallerKeyFile})
	if err != nil {
		return nil, err
	}
	operator, err := t.load("operator", access.Files{Cert: tlsSettings.OperatorCertFile, Key: tlsSettings.OperatorKeyFile})
	if err != nil {
		return nil, err
	}
	peer, err := t.load("peer", access.Files{Cert: tlsSettings.PeerCertFile, Key: tlsSettings.PeerKeyFile, CA: tlsSettings.PeerCAFile})
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

func (t *portTLS) load(port string, files access.Files) (*access.Certificates, error) {
	if files.Cert == "" {
		return nil, nil
	}
	certificates, err := access.LoadCertificates(files)
	if err != nil {
		return nil, errors.Wrapf(err, "load the certificates of the %s port", port)
	}
	t.reloadable = append(t.reloadable, certificates)
	return certificates, nil
}

// duty returns the periodic duty that reloads changed certificate files.
func (t *portTLS) duty() worker.Duty {
	return worker.Duty{Name: DutyCertificates, Interval: worker.Every(certificateReloadInterval), Timeout: certificateReloadInterval, Run: t.reload}
}

func (t *portTLS) reload(context.Context) error {
	var firstErr error
	for _, certificates := range t.reloadable {
		changed, err := certificates.Reload()
		if err != nil && firstErr == nil {
			firstErr = err
		}
		if changed {
			t.log.Info("certificate reloaded", "not_after", certificates.NotAfter())
		}
	}
	return firstErr
}

// harden applies the configured limits on headers and bodies to an HTTP server.
func (i *Instance) harden(server *http.Server) {
	access.Harden(server, access.Bounds{
		MaxHeaderBytes: i.settings.Limits.MaxHeaderBytes,
		MaxBodyBytes:   int64(i.settings.Limits.MaxBodyBytes),
	})
}
