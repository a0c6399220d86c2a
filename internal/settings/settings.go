// Package settings loads the static settings of one instance from a YAML file, applies the defaults of the schema and
// reports every problem with its position and the value that is expected.
package settings

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/yamldoc"
)

// minSecretBytes is the minimum length of a session signing secret. It is the output size of HMAC-SHA256: a shorter key
// weakens the signature, a longer one adds no strength.
const minSecretBytes = 32

// Load reads the settings file and the key files that it names, whose paths are relative to the file's directory. It
// returns either settings or at least one problem.
func Load(path string) (*api.Settings, []api.Problem) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []api.Problem{{File: path, Line: 1, Column: 1, Field: "(document)", Message: "cannot be read: " + err.Error()}}
	}
	set, problems := Parse(path, text)
	if len(problems) > 0 {
		return nil, problems
	}
	return set, nil
}

// Parse decodes and validates the text of a settings file and reads the key files that it names.
func Parse(file string, text []byte) (*api.Settings, []api.Problem) {
	set := &api.Settings{}
	doc := yamldoc.Decode(file, text, set)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	v := &validator{doc: doc, set: set, dir: filepath.Dir(file)}
	v.checkInstance()
	v.checkAddresses()
	v.checkTLS()
	v.checkKeys()
	v.checkNumbers()
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return set, nil
}

// ParseHash decodes a SHA-256 hash in hex.
func ParseHash(text string) ([]byte, bool) {
	raw, err := hex.DecodeString(text)
	return raw, err == nil && len(raw) == 32
}

// DecodeSecret returns the bytes of the session key's base64 secret, or nil if it is not valid base64.
func DecodeSecret(key api.SessionKey) []byte {
	raw, err := base64.StdEncoding.DecodeString(key.Secret)
	if err != nil {
		return nil
	}
	return raw
}

// Millis converts a setting in milliseconds to a duration.
func Millis(millis int) time.Duration { return time.Duration(millis) * time.Millisecond }

// PeerPort returns the port on which the peer API listens, or 0 if the address has no valid port.
func PeerPort(set *api.Settings) int {
	_, port, err := net.SplitHostPort(set.Listen.Peer)
	if err != nil {
		return 0
	}
	number, _ := strconv.Atoi(port)
	return number
}

type validator struct {
	doc *yamldoc.Document
	set *api.Settings
	dir string
}

func (c *validator) checkInstance() {
	instance := &c.set.Instance
	c.requireNonEmpty("instance.name", instance.Name)
	c.requireNonEmpty("instance.availabilityZone", instance.AvailabilityZone)
	if instance.AdvertiseIP == "" {
		instance.AdvertiseIP = "127.0.0.1"
	}
	if net.ParseIP(instance.AdvertiseIP) == nil {
		c.doc.Add("instance.advertiseIP", fmt.Sprintf("%q is not an IP address; write one, for example 10.0.0.7", instance.AdvertiseIP))
	}
}

func (c *validator) requireNonEmpty(field, value string) {
	if strings.TrimSpace(value) == "" {
		c.doc.Add(field, "must not be empty; write a name")
	}
}

func (c *validator) checkAddresses() {
	c.checkAddress("listen.caller", c.set.Listen.Caller)
	c.checkAddress("listen.operator", c.set.Listen.Operator)
	c.checkAddress("listen.peer", c.set.Listen.Peer)
	base, err := url.Parse(c.set.Platform.BaseURL)
	if err != nil || (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		c.doc.Add("platform.baseURL", fmt.Sprintf("%q is not a URL; write one, for example https://10.0.0.2:8443", c.set.Platform.BaseURL))
	}
}

func (c *validator) checkAddress(field, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || number < 0 || number > 65535 || (host != "" && net.ParseIP(host) == nil) {
		c.doc.Add(field, fmt.Sprintf("%q is not a listen address of the form IP:port, for example 0.0.0.0:8080", value))
	}
}

func (c *validator) checkTLS() {
	tls := &c.set.Tls
	c.checkPair("tls.callerCertFile", tls.CallerCertFile, "tls.callerKeyFile", tls.CallerKeyFile)
	c.checkPair("tls.operatorCertFile", tls.OperatorCertFile, "tls.operatorKeyFile", tls.OperatorKeyFile)
	c.checkPair("tls.peerCertFile", tls.PeerCertFile, "tls.peerKeyFile", tls.PeerKeyFile)
	if (tls.PeerCAFile == "") != (tls.PeerCertFile == "") {
		c.doc.Add("tls.peerCAFile", "mutual TLS needs peerCAFile, peerCertFile and peerKeyFile together; set all three or none")
	}
}

func (c *validator) checkPair(certField, cert, keyField, key string) {
	if (cert == "") != (key == "") {
		c.doc.Add(certField, fmt.Sprintf("%s and %s must be set together; set both or neither", certField, keyField))
	}
}

func (c *validator) checkKeys() {
	seen := map[string]bool{}
	for i, hash := range c.set.Keys.OperatorKeyHashes {
		if _, ok := ParseHash(hash); !ok {
			field := fmt.Sprintf("keys.operatorKeyHashes[%d]", i)
			c.doc.Add(field, "is not a SHA-256 hash; write 64 hexadecimal digits")
		}
	}
	for i := range c.set.Keys.Session {
		key := &c.set.Keys.Session[i]
		field := fmt.Sprintf("keys.session[%d]", i)
		if key.Id == "" || seen[key.Id] {
			c.doc.Add(field+".id", fmt.Sprintf("%q is empty or already used; give each key a unique id", key.Id))
		}
		seen[key.Id] = true
		c.checkSecret(field, key)
	}
}

func (c *validator) checkSecret(field string, key *api.SessionKey) {
	if (key.Secret == "") == (key.SecretFile == "") {
		c.doc.Add(field, "must set exactly one of secret and secretFile")
		return
	}
	if key.SecretFile != "" {
		path := key.SecretFile
		if !filepath.IsAbs(path) {
			path = filepath.Join(c.dir, path)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			c.doc.Add(field+".secretFile", "cannot be read: "+err.Error())
			return
		}
		key.Secret = strings.TrimSpace(string(text))
	}
	if len(DecodeSecret(*key)) < minSecretBytes {
		c.doc.Add(field, fmt.Sprintf("the secret must be the base64 encoding of at least %d bytes", minSecretBytes))
	}
}

type numberSetting struct {
	field        string
	value        *int
	defaultValue int
	min, max     int
}

func (c *validator) checkNumbers() {
	limits, timing := &c.set.Limits, &c.set.Timing
	settings := []numberSetting{
		{"platform.timeoutMillis", &c.set.Platform.TimeoutMillis, 2000, 10, 60_000},
		{"limits.workers", &limits.Workers, 2048, 1, 65_536},
		{"limits.queueLength", &limits.QueueLength, 4096, 1, 1 << 20},
		{"limits.maxBodyBytes", &limits.MaxBodyBytes, 4 << 20, 1024, 256 << 20},
		{"limits.maxHeaderBytes", &limits.MaxHeaderBytes, 32 << 10, 1024, 1 << 20},
		{"limits.callerConnections", &limits.CallerConnections, 8192, 16, 1 << 24},
		{"limits.bodyMemoryMB", &limits.BodyMemoryMB, 1024, 12, 1 << 20},
		{"limits.evictionGraceMillis", &limits.EvictionGraceMillis, 1000, 10, 60_000},
		{"timing.configPollMillis", &timing.ConfigPollMillis, 1000, 10, 10_000},
		{"timing.freshnessBoundMillis", &timing.FreshnessBoundMillis, 6000, 100, 60_000},
		{"timing.digestPullMillis", &timing.DigestPullMillis, 1000, 10, 10_000},
		{"timing.listPollMillis", &timing.ListPollMillis, 2000, 10, 10_000},
		{"timing.billFlushMillis", &timing.BillFlushMillis, 50, 1, 10_000},
		{"timing.drainBalancerMillis", &timing.DrainBalancerMillis, 5000, 0, 600_000},
		{"timing.drainTimeoutMillis", &timing.DrainTimeoutMillis, 120_000, 0, 3_600_000},
	}
	for _, s := range settings {
		if !c.doc.Has(s.field) {
			*s.value = s.defaultValue
		}
		if *s.value < s.min || *s.value > s.max {
			c.doc.Add(s.field, fmt.Sprintf("%d is out of range; write a value from %d to %d", *s.value, s.min, s.max))
		}
	}
	if limits.BodyMemoryMB<<20 < 3*limits.MaxBodyBytes {
		c.doc.Add("limits.bodyMemoryMB", "must be at least three times limits.maxBodyBytes, or the longest body finds no memory")
	}
	if timing.FreshnessBoundMillis < 2*timing.ConfigPollMillis {
		c.doc.Add("timing.freshnessBoundMillis", "must be at least twice timing.configPollMillis, or one late poll makes the instance refuse requests")
	}
}
