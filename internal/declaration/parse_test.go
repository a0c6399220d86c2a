package declaration

import (
	"strings"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
)

const exampleKeyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const validDocument = `models:
  - name: small
    versions:
      - {name: "1", inputCost: 0.1, outputCost: 0.2, expectedQuality: 0.7}
      - {name: "2", inputCost: 0.1, outputCost: 0.2, expectedQuality: 0.8, state: rollout}
classes:
  - name: chat
    priority: 5
    target: {quality: 0.75, firstTokenMillis: 900, costPer1000: 30}
services:
  - name: orders
    calls:
      - {method: POST, path: /print-runs, repeatable: false}
organisations:
  - name: guild
    keyHashes: ["` + exampleKeyHash + `"]
    allow:
      - {model: small, versions: ["1", "2"], classes: [chat]}
    services: [orders]
`

// Guards against missing defaults: the answers of a class would never be rated and its requests never retried.
func TestParseAppliesDefaults(t *testing.T) {
	decl, problems := Parse("d.yaml", []byte(validDocument))
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	class := decl.Classes[0]
	if class.WhenUnmet != api.UnmetBestEffort || !*class.Repeatable || *class.RatingFraction != 0.05 {
		t.Errorf("class defaults: %+v", class)
	}
	if decl.Models[0].Versions[0].State != api.VersionServing || decl.Organisations[0].Weight != 1 {
		t.Errorf("version or organisation defaults: %+v", decl)
	}
	if decl.Services[0].Calls[0].TimeoutMillis != 10_000 {
		t.Errorf("call defaults: %+v", decl.Services[0].Calls[0])
	}
}

// Guards against an invalid declaration that is accepted, reported at the wrong field, line or column, or reported without
// saying which value is valid.
func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		field, message string
	}{
		{"unknown field", "priority: 5", "priority: 5\n    colour: red", 9, "classes[0].colour", "known fields are name, priority"},
		{"missing field", "    priority: 5\n", "", 7, "classes[0].priority", "a whole number is required"},
		{"wrong type", "priority: 5", "priority: high", 8, "classes[0].priority", "a whole number"},
		{"wrong unit", "firstTokenMillis: 900", "firstTokenMillis: 0.9s", 9, "classes[0].target.firstTokenMillis", "milliseconds"},
		{"number as name", `{name: "2"`, `{name: 2`, 5, "models[0].versions[1].name", "quotes"},
		{"set twice", "priority: 5", "priority: 5\n    priority: 6", 9, "classes[0].priority", "set twice"},
		{"duplicate version", `{name: "2"`, `{name: "1", inputCost: 1, outputCost: 1}
      - {name: "2"`, 5, "models[0].versions[1].name", "declared twice"},
		{"unknown version", `["1", "2"]`, `["1", "3"]`, 18, "organisations[0].allow[0].versions[1]", "does not exist"},
		{"unknown class", "[chat]", "[chta]", 18, "organisations[0].allow[0].classes[0]", "does not exist"},
		{"unknown service", "services: [orders]", "services: [order]", 19, "organisations[0].services[0]", "does not exist"},
		{"out of range", "quality: 0.75", "quality: 75", 9, "classes[0].target.quality", "from 0 to 1"},
		{"bad hash", exampleKeyHash, "abc", 16, "organisations[0].keyHashes[0]", "64 hexadecimal digits"},
		{"bad state", "state: rollout", "state: beta", 5, "models[0].versions[1].state", "serving, rollout"},
		{"quality out of reach", "quality: 0.75", "quality: 0.9", 9, "classes[0].target.quality", "cannot be met"},
		{"cost out of reach", "costPer1000: 30", "costPer1000: 0.2", 9, "classes[0].target.costPer1000", "cannot be met"},
		{"bad syntax", "priority: 5", "priority: [5", 9, "(document)", "not valid YAML"},
		{"anchor", "priority: 5", "priority: &p 5", 8, "classes[0].priority", "not supported"},
		{"empty zone", "services: [orders]\n", "services: [orders]\nevacuatedAvailabilityZones: [a, \"\"]\n", 20, "evacuatedAvailabilityZones[1]", "without spaces"},
		{"zone twice", "services: [orders]\n", "services: [orders]\nevacuatedAvailabilityZones: [a, b, a]\n", 20, "evacuatedAvailabilityZones[2]", "listed twice"},
		{"zone as number", "services: [orders]\n", "services: [orders]\nevacuatedAvailabilityZones: [1]\n", 20, "evacuatedAvailabilityZones[0]", "quotes"},
		{"path", "path: /print", "path: print", 13, "services[0].calls[0].path", "start with /"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validDocument, c.old, c.new, 1)
			decl, problems := Parse("d.yaml", []byte(text))
			if decl != nil || len(problems) != 1 {
				t.Fatalf("want exactly one problem, got %v", problems)
			}
			p := problems[0]
			if p.Line != c.line || p.Field != c.field || p.Column < 1 || !strings.Contains(p.Message, c.message) {
				t.Errorf("got %+v", p)
			}
		})
	}
}

// Guards against a validator that reports only the first problem.
func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer("priority: 5", "priority: 50", exampleKeyHash, "x", "[chat]", "[none]").Replace(validDocument)
	if _, problems := Parse("d.yaml", []byte(text)); len(problems) != 3 {
		t.Errorf("want 3 problems, got %v", problems)
	}
}

// Guards against validation that rejects the withdrawal of the last version that meets the target of a class.
func TestParseAcceptsWithdrawalOfBestVersion(t *testing.T) {
	text := strings.Replace(validDocument, "state: rollout", "state: withdrawn", 1)
	if _, problems := Parse("d.yaml", []byte(text)); len(problems) > 0 {
		t.Errorf("problems: %v", problems)
	}
}

// Guards against a panic of the YAML library and against problems without a line, field or message.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("models: [{name: *a}]\n"))
	f.Add([]byte("? : \n- a\n"))
	f.Add([]byte("models:\n  - name: !!binary x\n    <<: {a: 1}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		decl, problems := Parse("f.yaml", text)
		if (decl == nil) == (len(problems) == 0) {
			t.Fatalf("declaration %v with problems %v", decl, problems)
		}
		for _, p := range problems {
			if p.Line < 1 || p.Field == "" || p.Message == "" {
				t.Fatalf("problem without a line, field or message: %+v", p)
			}
		}
	})
}
