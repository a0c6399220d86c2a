package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `instance: {name: entry-1, availabilityZone: lom-a}
listen: {caller: "127.0.0.1:8080", operator: "127.0.0.1:8081", peer: "127.0.0.1:8082"}
platform: {baseURL: "http://127.0.0.1:9000"}
keys:
  session:
    - {id: k1, secretFile: session.key}
`

const validSecret = "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="

func writeFiles(t *testing.T, text, key string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range map[string]string{"settings.yaml": text, "session.key": key + "\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "settings.yaml")
}

// Guards against defaults that are not applied and key files that are not read.
func TestLoadAppliesDefaultsAndReadsKeyFiles(t *testing.T) {
	set, problems := Load(writeFiles(t, validSettings, validSecret))
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	if set.Timing.FreshnessBoundMillis != 6000 || set.Limits.Workers != 2048 || set.Instance.AdvertiseIP != "127.0.0.1" {
		t.Errorf("defaults: %+v", set)
	}
	if len(DecodeSecret(set.Keys.Session[0])) != 32 || PeerPort(set) != 8082 {
		t.Errorf("secret or port not read: %+v", set)
	}
}

// Guards against faulty settings that are accepted, and against problems reported without a position.
func TestLoadRejectsFaultySettings(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		field, message string
	}{
		{"unknown field", "listen:", "lissten: 1\nlisten:", 2, "lissten", "known fields"},
		{"bad address", "127.0.0.1:8081", "localhost", 2, "listen.operator", "IP:port"},
		{"bad URL", "http://127.0.0.1:9000", "127.0.0.1:9000", 3, "platform.baseURL", "not a URL"},
		{"empty zone", "lom-a", `""`, 1, "instance.availabilityZone", "must not be empty"},
		{"missing key file", "session.key", "none.key", 6, "keys.session[0].secretFile", "cannot be read"},
		{"bound too short", "platform:", "timing: {freshnessBoundMillis: 1500}\nplatform:", 3, "timing.freshnessBoundMillis", "twice"},
		{"zero workers", "platform:", "limits: {workers: 0}\nplatform:", 3, "limits.workers", "from 1"},
		{"half a pair", "platform:", "tls: {callerCertFile: a.pem}\nplatform:", 3, "tls.callerCertFile", "both or neither"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set, problems := Load(writeFiles(t, strings.Replace(validSettings, c.old, c.new, 1), validSecret))
			if set != nil || len(problems) != 1 {
				t.Fatalf("want exactly one problem, got %v", problems)
			}
			p := problems[0]
			if p.Line != c.line || p.Field != c.field || p.File == "" || !strings.Contains(p.Message, c.message) {
				t.Errorf("got %+v", p)
			}
		})
	}
	if _, problems := Load(writeFiles(t, validSettings, "c2hvcnQ=")); len(problems) != 1 || !strings.Contains(problems[0].Message, "32 bytes") {
		t.Errorf("short secret: %v", problems)
	}
}

// Guards against a panic in the YAML library, against settings returned together with problems, and against problems
// without a position, field or message.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("instance: &a {name: *a}\nlisten: []\n"))
	f.Add([]byte("timing: {configPollMillis: 99999999999999999999}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, problems := Parse("f.yaml", text)
		if (set == nil) == (len(problems) == 0) {
			t.Fatalf("settings %v with problems %v", set, problems)
		}
		for _, p := range problems {
			if p.Line < 1 || p.Field == "" || p.Message == "" {
				t.Fatalf("problem without a line, field or message: %+v", p)
			}
		}
	})
}
