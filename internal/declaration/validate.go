package declaration

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/yamldoc"
)

// maxMillis is the longest time that a target or timeout may state: one hour.
const maxMillis = 3_600_000

// namePattern excludes the characters that separate names in keys, paths and model fields (@ : / and spaces).
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

type validator struct {
	doc      *yamldoc.Document
	decl     *api.Declaration
	versions map[VersionID]*api.Version
	models   map[string]bool
	classes  map[string]bool
	services map[string]bool
	hashes   map[string]string
}

func newValidator(doc *yamldoc.Document, decl *api.Declaration) *validator {
	return &validator{
		doc:      doc,
		decl:     decl,
		versions: map[VersionID]*api.Version{},
		models:   map[string]bool{},
		classes:  map[string]bool{},
		services: map[string]bool{},
		hashes:   map[string]string{},
	}
}

func (v *validator) run() {
	for i := range v.decl.Models {
		v.model(fmt.Sprintf("models[%d]", i), &v.decl.Models[i])
	}
	for i := range v.decl.Classes {
		v.class(fmt.Sprintf("classes[%d]", i), &v.decl.Classes[i])
	}
	for i := range v.decl.Services {
		v.service(fmt.Sprintf("services[%d]", i), &v.decl.Services[i])
	}
	names := map[string]bool{}
	for i := range v.decl.Organisations {
		v.organisation(fmt.Sprintf("organisations[%d]", i), &v.decl.Organisations[i], names)
	}
}

// name checks the form of a name and that it is not used twice.
func (v *validator) name(field, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.doc.Add(field, fmt.Sprintf("%q is not a name; write 1 to 63 letters, digits, dots, underscores or hyphens", name))
	}
	if seen[name] {
		v.doc.Add(field, fmt.Sprintf("%q is declared twice; rename or remove one", name))
	}
	seen[name] = true
}

func (v *validator) between(field string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		v.doc.Add(field, fmt.Sprintf("%v is out of range; write a value from %v to %v", value, low, high))
	}
}

// optionalBetween checks a field whose zero value means that it is not set, if the file sets it.
func (v *validator) optionalBetween(field string, value, low, high float64) {
	if v.doc.Has(field) {
		v.between(field, value, low, high)
	}
}

func (v *validator) notNegative(field string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		v.doc.Add(field, fmt.Sprintf("%v is out of range; write 0 or more", value))
	}
}

func (v *validator) model(field string, model *api.Model) {
	v.name(field+".name", model.Name, v.models)
	if len(model.Versions) == 0 {
		v.doc.Add(field+".versions", "is empty; declare at least one version")
	}
	seen := map[string]bool{}
	for i := range model.Versions {
		at := fmt.Sprintf("%s.versions[%d]", field, i)
		version := &model.Versions[i]
		v.name(at+".name", version.Name, seen)
		v.versions[VersionID{Model: model.Name, Version: version.Name}] = version
		v.notNegative(at+".inputCost", version.InputCost)
		v.notNegative(at+".outputCost", version.OutputCost)
		v.between(at+".expectedQuality", version.ExpectedQuality, 0, 1)
		if version.State != "" && !version.State.Valid() {
			v.doc.Add(at+".state", fmt.Sprintf("%q is not a state; write serving, rollout, withdrawn or quarantined", version.State))
		}
		if version.QuarantineReason != "" && version.State != api.VersionQuarantined {
			v.doc.Add(at+".quarantineReason", "belongs to state quarantined only; remove it when another state is set")
		}
	}
}

func (v *validator) class(field string, class *api.Class) {
	v.name(field+".name", class.Name, v.classes)
	v.between(field+".priority", float64(class.Priority), 0, 9)
	if class.WhenUnmet != "" && !class.WhenUnmet.Valid() {
		v.doc.Add(field+".whenUnmet", fmt.Sprintf("%q is not known; write bestEffort or refuse", class.WhenUnmet))
	}
	if class.RatingFraction != nil {
		v.between(field+".ratingShare", *class.RatingFraction, 0, 1)
	}
	target, at := class.Target, field+".target"
	v.between(at+".quality", target.Quality, 0, 1)
	v.notNegative(at+".costPer1000", target.CostPer1000)
	v.optionalBetween(at+".firstTokenMillis", float64(target.FirstTokenMillis), 1, maxMillis)
	v.optionalBetween(at+".interTokenMillis", float64(target.InterTokenMillis), 1, maxMillis)
	v.optionalBetween(at+".deadlineMillis", float64(target.DeadlineMillis), 1, maxMillis)
	if target.DeadlineMillis > 0 && target.FirstTokenMillis > target.DeadlineMillis {
		v.doc.Add(at+".firstTokenMillis", "is longer than deadlineMillis; the first token must come before the deadline")
	}
}

func (v *validator) service(field string, service *api.PlainService) {
	v.name(field+".name", service.Name, v.services)
	seen := map[string]bool{}
	for i := range service.Calls {
		at := fmt.Sprintf("%s.calls[%d]", field, i)
		call := &service.Calls[i]
		if !call.Method.Valid() {
			v.doc.Add(at+".method", fmt.Sprintf("%q is not a method; write GET, POST, PUT, PATCH or DELETE", call.Method))
		}
		if !strings.HasPrefix(call.Path, "/") {
			v.doc.Add(at+".path", fmt.Sprintf("%q is not a path; it must start with /", call.Path))
		}
		key := string(call.Method) + " " + call.Path
		if seen[key] {
			v.doc.Add(at, fmt.Sprintf("%s is declared twice; remove one", key))
		}
		seen[key] = true
		v.optionalBetween(at+".timeoutMillis", float64(call.TimeoutMillis), 1, maxMillis)
	}
}

func (v *validator) organisation(field string, org *api.Organisation, names map[string]bool) {
	v.name(field+".name", org.Name, names)
	v.optionalBetween(field+".weight", float64(org.Weight), 1, 100)
	for i, hash := range org.KeyHashes {
		v.keyHash(fmt.Sprintf("%s.keyHashes[%d]", field, i), hash, org.Name)
	}
	for i := range org.Allow {
		v.allowance(fmt.Sprintf("%s.allow[%d]", field, i), &org.Allow[i])
	}
	seen := map[string]bool{}
	for i, service := range org.Services {
		at := fmt.Sprintf("%s.services[%d]", field, i)
		if !v.services[service] {
			v.doc.Add(at, fmt.Sprintf("service %q does not exist; declare it under services", service))
		}
		v.once(at, service, seen)
	}
	v.notNegative(field+".limits.requestsPerSecond", org.Limits.RequestsPerSecond)
	v.notNegative(field+".limits.tokensPerSecond", org.Limits.TokensPerSecond)
	v.notNegative(field+".limits.costPerDay", org.Limits.CostPerDay)
}

func (v *validator) once(field, value string, seen map[string]bool) {
	if seen[value] {
		v.doc.Add(field, fmt.Sprintf("%q is listed twice; remove one", value))
	}
	seen[value] = true
}

func (v *validator) keyHash(field, hash, organisation string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != 32 {
		v.doc.Add(field, "is not a SHA-256 hash; write 64 hexadecimal digits")
		return
	}
	key := strings.ToLower(hash)
	if other, ok := v.hashes[key]; ok {
		v.doc.Add(field, fmt.Sprintf("is listed twice (also for organisation %q); each key belongs to one organisation", other))
	}
	v.hashes[key] = organisation
}

func (v *validator) allowance(field string, allow *api.Allowance) {
	if !v.models[allow.Model] {
		v.doc.Add(field+".model", fmt.Sprintf("model %q does not exist; declare it under models", allow.Model))
		return
	}
	if len(allow.Versions) == 0 {
		v.doc.Add(field+".versions", "is empty; name at least one version")
	}
	seen := map[string]bool{}
	for i, version := range allow.Versions {
		at := fmt.Sprintf("%s.versions[%d]", field, i)
		if v.versions[VersionID{Model: allow.Model, Version: version}] == nil {
			v.doc.Add(at, fmt.Sprintf("version %q of model %q does not exist; declare it under models", version, allow.Model))
		}
		v.once(at, version, seen)
	}
	seen = map[string]bool{}
	for i, class := range allow.Classes {
		at := fmt.Sprintf("%s.classes[%d]", field, i)
		if !v.classes[class] {
			v.doc.Add(at, fmt.Sprintf("class %q does not exist; declare it under classes", class))
		}
		v.once(at, class, seen)
	}
}
