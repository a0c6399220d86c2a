package access

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Files names the PEM files of one port. CA is needed for mutual TLS only.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// loaded is one consistent set of a certificate and the CAs of the peers.
type loaded struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// stamp identifies a version of a file without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

// Certificates holds the certificate of one port and reloads it when its files change. It is safe for concurrent use.
type Certificates struct {
	files Files

	mu      *lockorder.RWMutex
	current loaded
	stamps  [3]stamp
}

// LoadCertificates reads the files for the first time.
func LoadCertificates(files Files) (*Certificates, error) {
	c := &Certificates{files: files, mu: lockorder.NewRW(lockorder.RankTelemetry)}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again if the modification time or size of one has changed, and reports whether new ones are in
// force. If they do not load, for example because only one of certificate and key was replaced so far, the old ones stay in
// force and the next call tries again. It is the work of a duty.
func (c *Certificates) Reload() (bool, error) {
	stamps, err := c.stat()
	if err != nil {
		return false, err
	}
	c.mu.RLock()
	same := stamps == c.stamps
	c.mu.RUnlock()
	if same {
		return false, nil
	}
	next, err := load(c.files)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.stamps = next, stamps
	return true, nil
}

// stat is called before the files are read, so that a change in between is seen by the next call.
func (c *Certificates) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "check certificate file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func load(files Files) (loaded, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return loaded{}, errors.Wrapf(err, "load certificate %s", files.Cert)
	}
	if files.CA == "" {
		return loaded{certificate: &certificate}, nil
	}
	text, err := os.ReadFile(files.CA)
	if err != nil {
		return loaded{}, errors.Wrap(err, "load CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return loaded{}, errors.Errorf("CA file %s holds no certificate", files.CA)
	}
	return loaded{certificate: &certificate, pool: pool}, nil
}

func (c *Certificates) get() loaded {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// NotAfter returns the end of the certificate's validity.
func (c *Certificates) NotAfter() time.Time { return c.get().certificate.Leaf.NotAfter }
