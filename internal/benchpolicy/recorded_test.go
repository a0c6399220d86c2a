package benchpolicy

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against averages over the wrong recorded runs, and against accepting a file with an invalid number or no runs.
func TestRecorded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs.csv")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("policy,site,day,seed,worth,served\nours,Guild,d,1,0.8,0.9\nours,Guild,d,2,0.6,0.7\nrandom,Guild,d,1,0.3,0.5\nours,Nord,d,1,0.1,0.2\n")
	var out bytes.Buffer
	if err := RecordedRuns(&out, path, t.TempDir()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| Guild | ours | 2 | 0.700 | 0.800 |", "| Guild | random | 1 | 0.300 | 0.500 |", "| Nord | ours | 1 | 0.100 | 0.200 |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("row %q is missing from the output: %s", want, out.String())
		}
	}
	for _, bad := range []string{"", "policy\n", "a,b,c,d,e,f\np,s,d,1,much,0\n", "a,b,c,d,e,f\np,s,d,1,0.5\n"} {
		write(bad)
		if err := RecordedRuns(&out, path, t.TempDir()); err == nil {
			t.Errorf("invalid file %q was accepted", bad)
		}
	}
}
