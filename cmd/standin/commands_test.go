package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against a version on the command line that is parsed wrongly or accepted although it is malformed.
func TestParseVersion(t *testing.T) {
	want := api.EngineStandinVersion{Model: "small", Version: "1", Quality: 0.8, Tokens: 40, Loaded: true}
	if got, err := parseVersion("small@1=0.8:40"); err != nil || !cmp.Equal(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, text := range []string{"small", "small@1=x", "small@1=0.8:x"} {
		if _, err := parseVersion(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
