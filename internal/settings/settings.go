// Package settings loads the static settings of one instance from a YAML file, applies the defaults of the schema and
// reports every fault with its place and what would be right.
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

// minSecretBytes is the shortest session signing secret; HMAC-SHA256 gains nothing from more and loses with less.
const minSecretBytes = 32

// Load reads the file, and the key files that it names (relative to the file's directory). It returns either settings or
// at least one problem.
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

// Parse checks the text of a settings file. It reads the key files that the text names.
func Parse(file string, text []byte) (*api.Settings, []api.Problem) {
	set := &api.Settings{}
	doc := yamldoc.Decode(file, text, set)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	check := &checker{doc: doc, set: set, dir: filepath.Dir(file)}
	check.identity()
	check.addresses()
	check.tls()
	check.keys()
	check.numbers()
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

// Secret returns the decoded secret of a session key that Load returned.
func Secret(key api.SessionKey) []byte {
	raw, err := base64.StdEncoding.DecodeString(key.Secret)
	if err != nil {
		return nil
	}
	return raw
}

// Millis converts a setting in milliseconds.
func Millis(millis int) time.Duration { return time.Duration(millis) * time.Millisecond }

// PeerPort returns the port of the peer API.
func PeerPort(set *api.Settings) int {
	_, port, err := net.SplitHostPort(set.Listen.Peer)
	if err != nil {
		return 0
	}
	number, _ := strconv.Atoi(port)
	return number
}

type checker struct {
	doc *yamldoc.Document
	set *api.Settings
	dir string
}

func (c *checker) identity() {
	instance := &c.set.Instance
	c.nonEmpty("instance.name", instance.Name)
	c.nonEmpty("instance.availabilityZone", instance.AvailabilityZone)
	if instance.AdvertiseIP == "" {
		instance.AdvertiseIP = "127.0.0.1"
	}
	if net.ParseIP(instance.AdvertiseIP) == nil {
		c.doc.Add("instance.advertiseIP", fmt.Sprintf("%q is not an IP address; write one such as 10.0.0.7", instance.AdvertiseIP))
	}
}

func (c *checker) nonEmpty(field, value string) {
	if strings.TrimSpace(value) == "" {
		c.doc.Add(field, "is empty; write a name")
	}
}

func (c *checker) addresses() {
	c.address("listen.caller", c.set.Listen.Caller)
	c.address("listen.operator", c.set.Listen.Operator)
	c.address("listen.peer", c.set.Listen.Peer)
	base, err := url.Parse(c.set.Platform.BaseURL)
	if err != nil || (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		c.doc.Add("platform.baseURL", fmt.Sprintf("%q is not a URL; write one such as https://10.0.0.2:8443", c.set.Platform.BaseURL))
	}
}

func (c *checker) address(field, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || number < 0 || number > 65535 || (host != "" && net.ParseIP(host) == nil) {
		c.doc.Add(field, fmt.Sprintf("%q is not IP:port; write one such as 0.0.0.0:8080", value))
	}
}

func (c *checker) tls() {
	tls := &c.set.Tls
	c.pair("tls.callerCertFile", tls.CallerCertFile, "tls.callerKeyFile", tls.CallerKeyFile)
	c.pair("tls.operatorCertFile", tls.OperatorCertFile, "tls.operatorKeyFile", tls.OperatorKeyFile)
	c.pair("tls.peerCertFile", tls.PeerCertFile, "tls.peerKeyFile", tls.PeerKeyFile)
	if (tls.PeerCAFile == "") != (tls.PeerCertFile == "") {
		c.doc.Add("tls.peerCAFile", "mutual TLS needs peerCAFile, peerCertFile and peerKeyFile together; set all three or none")
	}
}

func (c *checker) pair(certField, cert, keyField, key string) {
	if (cert == "") != (key == "") {
		c.doc.Add(certField, fmt.Sprintf("%s and %s belong together; set both or neither", certField, keyField))
	}
}

func (c *checker) keys() {
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
			c.doc.Add(field+".id", fmt.Sprintf("%q is empty or used twice; give each key an id of its own", key.Id))
		}
		seen[key.Id] = true
		c.secret(field, key)
	}
}

func (c *checker) secret(field string, key *api.SessionKey) {
	if (key.Secret == "") == (key.SecretFile == "") {
		c.doc.Add(field, "needs exactly one of secret and secretFile")
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
	if len(Secret(*key)) < minSecretBytes {
		c.doc.Add(field, fmt.Sprintf("the secret must be base64 of at least %d bytes", minSecretBytes))
	}
}

type number struct {
	field    string
	value    *int
	standard int
	min, max int
}

func (c *checker) numbers() {
	limits, timing := &c.set.Limits, &c.set.Timing
	all := []number{
		{"platform.timeoutMillis", &c.set.Platform.TimeoutMillis, 2000, 10, 60_000},
		{"limits.workers", &limits.Workers, 2048, 1, 65_536},
		{"limits.queueLength", &limits.QueueLength, 4096, 1, 1 << 20},
		{"limits.maxBodyBytes", &limits.MaxBodyBytes, 4 << 20, 1024, 256 << 20},
		{"limits.maxHeaderBytes", &limits.MaxHeaderBytes, 32 << 10, 1024, 1 << 20},
		{"timing.configPollMillis", &timing.ConfigPollMillis, 1000, 10, 10_000},
		{"timing.freshnessBoundMillis", &timing.FreshnessBoundMillis, 6000, 100, 60_000},
		{"timing.digestPullMillis", &timing.DigestPullMillis, 1000, 10, 10_000},
		{"timing.listPollMillis", &timing.ListPollMillis, 2000, 10, 10_000},
		{"timing.billFlushMillis", &timing.BillFlushMillis, 50, 1, 10_000},
		{"timing.drainBalancerMillis", &timing.DrainBalancerMillis, 5000, 0, 600_000},
		{"timing.drainTimeoutMillis", &timing.DrainTimeoutMillis, 120_000, 0, 3_600_000},
	}
	for _, n := range all {
		if !c.doc.Has(n.field) {
			*n.value = n.standard
		}
		if *n.value < n.min || *n.value > n.max {
			c.doc.Add(n.field, fmt.Sprintf("%d is out of range; write a value from %d to %d", *n.value, n.min, n.max))
		}
	}
	if timing.FreshnessBoundMillis < 2*timing.ConfigPollMillis {
		c.doc.Add("timing.freshnessBoundMillis", "must be at least twice timing.configPollMillis, else each late poll refuses requests")
	}
}
