package access

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Files holds the paths of the PEM files of one port. CA is needed only for mutual TLS.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// credentials is a certificate and the CAs that sign peer certificates, loaded together. peerCAs is nil without a CA file.
type credentials struct {
	certificate *tls.Certificate
	peerCAs     *x509.CertPool
}

// fileStamp is the modification time and size of a file, by which a change is detected without reading the file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Certificates holds the certificate of one port and reloads it when its files change. It is safe for concurrent use.
type Certificates struct {
	files Files

	mu      *lockorder.RWMutex
	current credentials
	stamps  [3]fileStamp
}

// LoadCertificates reads the files. It fails if any of them cannot be loaded.
func LoadCertificates(files Files) (*Certificates, error) {
	c := &Certificates{files: files, mu: lockorder.NewRW(lockorder.RankTelemetry)}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again if the modification time or size of any has changed, and reports whether it replaced the
// certificate. If the new files cannot be loaded, for example because only one of certificate and key has been replaced so far,
// the current certificate stays in use and the next call tries again. A periodic duty calls Reload.
func (c *Certificates) Reload() (bool, error) {
	stamps, err := c.statFiles()
	if err != nil {
		return false, err
	}
	c.mu.RLock()
	unchanged := stamps == c.stamps
	c.mu.RUnlock()
	if unchanged {
		return false, nil
	}
	reloaded, err := loadCredentials(c.files)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.stamps = reloaded, stamps
	return true, nil
}

// statFiles returns the stamps of the files. It is called before the files are read, so that the next Reload detects a change
// made in between.
func (c *Certificates) statFiles() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "stat certificate file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func loadCredentials(files Files) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return credentials{}, errors.Wrapf(err, "load certificate %s", files.Cert)
	}
	if files.CA == "" {
		return credentials{certificate: &certificate}, nil
	}
	caPEM, err := os.ReadFile(files.CA)
	if err != nil {
		return credentials{}, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return credentials{}, errors.Errorf("CA file %s holds no PEM certificate", files.CA)
	}
	return credentials{certificate: &certificate, peerCAs: pool}, nil
}

func (c *Certificates) get() credentials {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// NotAfter returns the time at which the current certificate expires.
func (c *Certificates) NotAfter() time.Time { return c.get().certificate.Leaf.NotAfter }
