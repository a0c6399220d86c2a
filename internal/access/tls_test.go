package access

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a CA made for one test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t}
	template := a.template(1)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	a.key = newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// write issues a certificate into the files. Each call advances the modification time, which coarse clocks may not.
func (a *authority) write(files Files, serial int64) {
	a.t.Helper()
	key := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, a.template(serial), a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.file(files.Cert, "CERTIFICATE", der, serial)
	a.file(files.Key, "PRIVATE KEY", raw, serial)
	if files.CA != "" {
		a.file(files.CA, "CERTIFICATE", a.cert.Raw, serial)
	}
}

func (a *authority) file(name, kind string, der []byte, serial int64) {
	a.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(name, text, 0o600); err != nil {
		a.t.Fatal(err)
	}
	at := time.Unix(1_000_000_000+serial, 0)
	if err := os.Chtimes(name, at, at); err != nil {
		a.t.Fatal(err)
	}
}

func newFiles(t *testing.T) Files {
	dir := t.TempDir()
	return Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
}

// issue returns certificates of the authority.
func (a *authority) issue(serial int64) (*Certificates, Files) {
	a.t.Helper()
	files := newFiles(a.t)
	a.write(files, serial)
	c, err := LoadCertificates(files)
	if err != nil {
		a.t.Fatal(err)
	}
	return c, files
}

// handshake returns the serial number that the client saw, or the first error of either side.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	failed := make(chan error, 1)
	go func() {
		left, err := listener.Accept()
		if err != nil {
			failed <- err
			return
		}
		defer left.Close()
		failed <- tls.Server(left, server).Handshake()
	}()
	right, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer right.Close()
	c := tls.Client(right, client)
	clientErr := c.Handshake()
	if clientErr != nil {
		right.Close()
	}
	if err := <-failed; err != nil {
		return 0, err
	}
	if clientErr != nil {
		return 0, clientErr
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a new certificate that needs a restart, and against a half-written one that takes the port down.
func TestReload(t *testing.T) {
	ca := newAuthority(t)
	c, files := ca.issue(2)
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	server, client := ServerConfig(c), &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
	expect := func(want int64) {
		t.Helper()
		if got, err := handshake(t, server, client); err != nil || got != want {
			t.Errorf("certificate %d, error %v, want certificate %d", got, err, want)
		}
	}
	expect(2)
	if changed, err := c.Reload(); changed || err != nil {
		t.Errorf("reload without a change: %t, %v", changed, err)
	}
	ca.file(files.Cert, "CERTIFICATE", []byte("half"), 3)
	if _, err := c.Reload(); err == nil {
		t.Error("a broken certificate loaded")
	}
	expect(2)
	ca.write(files, 4)
	if changed, err := c.Reload(); !changed || err != nil {
		t.Errorf("reload after a change: %t, %v", changed, err)
	}
	expect(4)
	if err := os.Remove(files.Key); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Reload(); err == nil {
		t.Error("a missing key file is not reported")
	}
	expect(4)
}

// Guards against peers without a certificate of the fleet's CA, on either side, and a CA change that needs a restart.
func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a, files := ours.issue(2)
	b, _ := ours.issue(3)
	stranger, _ := theirs.issue(4)
	if got, err := handshake(t, PeerServerConfig(a), PeerClientConfig(b)); err != nil || got != 2 {
		t.Errorf("peers of one CA: certificate %d, error %v", got, err)
	}
	for name, pair := range map[string][2]*tls.Config{
		"client of another CA":       {PeerServerConfig(a), PeerClientConfig(stranger)},
		"server of another CA":       {PeerServerConfig(stranger), PeerClientConfig(b)},
		"certificate of another CA":  {PeerServerConfig(a), {InsecureSkipVerify: true, GetClientCertificate: PeerClientConfig(stranger).GetClientCertificate}},
		"client without certificate": {PeerServerConfig(a), {InsecureSkipVerify: true}},
	} {
		if _, err := handshake(t, pair[0], pair[1]); err == nil {
			t.Errorf("%s: handshake succeeded", name)
		}
	}
	server := PeerServerConfig(a)
	theirs.write(files, 5)
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, server, PeerClientConfig(stranger)); err != nil {
		t.Errorf("after a change of the CA: %v", err)
	}
	if _, err := handshake(t, server, PeerClientConfig(b)); err == nil {
		t.Error("the former CA is still accepted")
	}
}
