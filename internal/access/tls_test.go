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

// testCA is a certificate authority that issues certificates for one test.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t}
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

func (a *testCA) template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// writeCertificate issues a certificate and writes it to the files. It derives the modification time from the serial number,
// because two writes within the resolution of the file system's clock would get the same time.
func (a *testCA) writeCertificate(files Files, serial int64) {
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
	a.writePEM(files.Cert, "CERTIFICATE", der, serial)
	a.writePEM(files.Key, "PRIVATE KEY", raw, serial)
	if files.CA != "" {
		a.writePEM(files.CA, "CERTIFICATE", a.cert.Raw, serial)
	}
}

func (a *testCA) writePEM(name, kind string, der []byte, serial int64) {
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

func tempFiles(t *testing.T) Files {
	dir := t.TempDir()
	return Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
}

// issueCertificates issues a certificate into new files and loads them.
func (a *testCA) issueCertificates(serial int64) (*Certificates, Files) {
	a.t.Helper()
	files := tempFiles(a.t)
	a.writeCertificate(files, serial)
	c, err := LoadCertificates(files)
	if err != nil {
		a.t.Fatal(err)
	}
	return c, files
}

// handshake performs a TLS handshake over loopback. It returns the serial number of the server's certificate, or the error of
// the server if there is one, else that of the client.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	serverErr := make(chan error, 1)
	go func() {
		serverConn, err := listener.Accept()
		if err != nil {
			serverErr <- err
			return
		}
		defer serverConn.Close()
		serverErr <- tls.Server(serverConn, server).Handshake()
	}()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer clientConn.Close()
	c := tls.Client(clientConn, client)
	clientErr := c.Handshake()
	if clientErr != nil {
		clientConn.Close()
	}
	if err := <-serverErr; err != nil {
		return 0, err
	}
	if clientErr != nil {
		return 0, clientErr
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a new certificate that takes effect only after a restart, and against a partly written or missing file that
// makes the port unusable.
func TestReload(t *testing.T) {
	ca := newTestCA(t)
	c, files := ca.issueCertificates(2)
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
	ca.writePEM(files.Cert, "CERTIFICATE", []byte("half"), 3)
	if _, err := c.Reload(); err == nil {
		t.Error("a malformed certificate was loaded")
	}
	expect(2)
	ca.writeCertificate(files, 4)
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

// Guards against accepting a peer, as client or server, without a certificate signed by the fleet's CA, and against a CA change
// that takes effect only after a restart.
func TestMutualTLS(t *testing.T) {
	fleetCA, otherCA := newTestCA(t), newTestCA(t)
	a, files := fleetCA.issueCertificates(2)
	b, _ := fleetCA.issueCertificates(3)
	untrusted, _ := otherCA.issueCertificates(4)
	if got, err := handshake(t, PeerServerConfig(a), PeerClientConfig(b)); err != nil || got != 2 {
		t.Errorf("peers of one CA: certificate %d, error %v", got, err)
	}
	for name, pair := range map[string][2]*tls.Config{
		"client of another CA":       {PeerServerConfig(a), PeerClientConfig(untrusted)},
		"server of another CA":       {PeerServerConfig(untrusted), PeerClientConfig(b)},
		"certificate of another CA":  {PeerServerConfig(a), {InsecureSkipVerify: true, GetClientCertificate: PeerClientConfig(untrusted).GetClientCertificate}},
		"client without certificate": {PeerServerConfig(a), {InsecureSkipVerify: true}},
	} {
		if _, err := handshake(t, pair[0], pair[1]); err == nil {
			t.Errorf("%s: handshake succeeded", name)
		}
	}
	server := PeerServerConfig(a)
	otherCA.writeCertificate(files, 5)
	if _, err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, server, PeerClientConfig(untrusted)); err != nil {
		t.Errorf("handshake after the CA was replaced: %v", err)
	}
	if _, err := handshake(t, server, PeerClientConfig(b)); err == nil {
		t.Error("a certificate of the replaced CA is still accepted")
	}
}

// Guards against a peer port without a CA that accepts the peers of every CA that the machine trusts.
func TestPeerPortWithoutCAAcceptsNobody(t *testing.T) {
	trusted := newTestCA(t)
	b, files := trusted.issueCertificates(3)
	t.Setenv("SSL_CERT_FILE", files.CA)
	withoutCA, err := LoadCertificates(Files{Cert: files.Cert, Key: files.Key})
	if err != nil {
		t.Fatal(err)
	}
	client := PeerClientConfig(b)
	if _, err := handshake(t, PeerServerConfig(withoutCA), client); err == nil {
		t.Error("a peer of a CA that the machine trusts was accepted")
	}
	if _, err := handshake(t, PeerServerConfig(b), PeerClientConfig(withoutCA)); err == nil {
		t.Error("a peer without a CA accepted a server")
	}
}
