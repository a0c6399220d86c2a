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

// maxMillis is the upper bound of latency targets and timeouts: one hour.
const maxMillis = 3_600_000

// namePattern excludes the characters that separate names in keys, paths and model fields (@ : / and spaces).
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// validator checks a decoded declaration and adds the problems that it finds to the document.
type validator struct {
	doc                   *yamldoc.Document
	decl                  *api.Declaration
	versions              map[VersionID]*api.Version
	models                map[string]bool
	classes               map[string]bool
	services              map[string]bool
	organisationByKeyHash map[string]string
}

func newValidator(doc *yamldoc.Document, decl *api.Declaration) *validator {
	return &validator{
		doc:                   doc,
		decl:                  decl,
		versions:              map[VersionID]*api.Version{},
		models:                map[string]bool{},
		classes:               map[string]bool{},
		services:              map[string]bool{},
		organisationByKeyHash: map[string]string{},
	}
}

func (v *validator) checkDeclaration() {
	for i := range v.decl.Models {
		v.checkModel(fmt.Sprintf("models[%d]", i), &v.decl.Models[i])
	}
	for i := range v.decl.Classes {
		v.checkClass(fmt.Sprintf("classes[%d]", i), &v.decl.Classes[i])
	}
	for i := range v.decl.Services {
		v.checkService(fmt.Sprintf("services[%d]", i), &v.decl.Services[i])
	}
	names := map[string]bool{}
	for i := range v.decl.Organisations {
		v.checkOrganisation(fmt.Sprintf("organisations[%d]", i), &v.decl.Organisations[i], names)
	}
	zones := map[string]bool{}
	for i, zone := range v.decl.EvacuatedAvailabilityZones {
		v.checkZone(fmt.Sprintf("evacuatedAvailabilityZones[%d]", i), zone, zones)
	}
}

// checkZone checks the name of an availability zone. Settings and backend servers may use any name, so that only an empty one is certainly
// wrong.
func (v *validator) checkZone(field, zone string, seen map[string]bool) {
	if strings.TrimSpace(zone) == "" || strings.TrimSpace(zone) != zone {
		v.doc.Add(field, fmt.Sprintf("%q is not a valid name; write an availability zone without spaces around it", zone))
	}
	v.checkListedOnce(field, zone, seen)
}

// checkName checks that the name is valid and not yet in seen, and adds it to seen.
func (v *validator) checkName(field, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.doc.Add(field, fmt.Sprintf("%q is not a valid name; write 1 to 63 letters, digits, dots, underscores or hyphens", name))
	}
	if seen[name] {
		v.doc.Add(field, fmt.Sprintf("%q is declared twice; rename or remove one", name))
	}
	seen[name] = true
}

func (v *validator) checkRange(field string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		v.doc.Add(field, fmt.Sprintf("%v is out of range; write a value from %v to %v", value, low, high))
	}
}

// checkOptionalRange checks the range of an optional field if the file sets it. Zero is the value of a field that is not
// set.
func (v *validator) checkOptionalRange(field string, value, low, high float64) {
	if v.doc.Has(field) {
		v.checkRange(field, value, low, high)
	}
}

func (v *validator) checkNotNegative(field string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		v.doc.Add(field, fmt.Sprintf("%v is out of range; write 0 or more", value))
	}
}

func (v *validator) checkModel(field string, model *api.Model) {
	v.checkName(field+".name", model.Name, v.models)
	if len(model.Versions) == 0 {
		v.doc.Add(field+".versions", "is empty; declare at least one version")
	}
	seen := map[string]bool{}
	for i := range model.Versions {
		path := fmt.Sprintf("%s.versions[%d]", field, i)
		version := &model.Versions[i]
		v.checkName(path+".name", version.Name, seen)
		v.versions[VersionID{Model: model.Name, Version: version.Name}] = version
		v.checkNotNegative(path+".inputCost", version.InputCost)
		v.checkNotNegative(path+".outputCost", version.OutputCost)
		v.checkRange(path+".expectedQuality", version.ExpectedQuality, 0, 1)
		if version.State != "" && !version.State.Valid() {
			v.doc.Add(path+".state", fmt.Sprintf("%q is not a valid state; write serving, rollout, withdrawn or quarantined", version.State))
		}
		if version.QuarantineReason != "" && version.State != api.VersionQuarantined {
			v.doc.Add(path+".quarantineReason", "is allowed only in state quarantined; remove it when another state is set")
		}
	}
}

func (v *validator) checkClass(field string, class *api.Class) {
	v.checkName(field+".name", class.Name, v.classes)
	v.checkRange(field+".priority", float64(class.Priority), 0, 9)
	if class.WhenUnmet != "" && !class.WhenUnmet.Valid() {
		v.doc.Add(field+".whenUnmet", fmt.Sprintf("%q is not a valid value; write bestEffort or refuse", class.WhenUnmet))
	}
	if class.RatingFraction != nil {
		v.checkRange(field+".ratingShare", *class.RatingFraction, 0, 1)
	}
	target, path := class.Target, field+".target"
	v.checkRange(path+".quality", target.Quality, 0, 1)
	v.checkNotNegative(path+".costPer1000", target.CostPer1000)
	v.checkOptionalRange(path+".firstTokenMillis", float64(target.FirstTokenMillis), 1, maxMillis)
	v.checkOptionalRange(path+".interTokenMillis", float64(target.InterTokenMillis), 1, maxMillis)
	v.checkOptionalRange(path+".deadlineMillis", float64(target.DeadlineMillis), 1, maxMillis)
	if target.DeadlineMillis > 0 && target.FirstTokenMillis > target.DeadlineMillis {
		v.doc.Add(path+".firstTokenMillis", "is longer than deadlineMillis; the first token must arrive before the deadline")
	}
}

func (v *validator) checkService(field string, service *api.PlainService) {
	v.checkName(field+".name", service.Name, v.services)
	seen := map[string]bool{}
	for i := range service.Calls {
		path := fmt.Sprintf("%s.calls[%d]", field, i)
		call := &service.Calls[i]
		if !call.Method.Valid() {
			v.doc.Add(path+".method", fmt.Sprintf("%q is not a supported method; write GET, POST, PUT, PATCH or DELETE", call.Method))
		}
		if !strings.HasPrefix(call.Path, "/") {
			v.doc.Add(path+".path", fmt.Sprintf("%q is not a valid path; it must start with /", call.Path))
		}
		key := string(call.Method) + " " + call.Path
		if seen[key] {
			v.doc.Add(path, fmt.Sprintf("%s is declared twice; remove one", key))
		}
		seen[key] = true
		v.checkOptionalRange(path+".timeoutMillis", float64(call.TimeoutMillis), 1, maxMillis)
	}
}

func (v *validator) checkOrganisation(field string, org *api.Organisation, names map[string]bool) {
	v.checkName(field+".name", org.Name, names)
	v.checkOptionalRange(field+".weight", float64(org.Weight), 1, 100)
	for i, hash := range org.KeyHashes {
		v.checkKeyHash(fmt.Sprintf("%s.keyHashes[%d]", field, i), hash, org.Name)
	}
	for i := range org.Allow {
		v.checkAllowance(fmt.Sprintf("%s.allow[%d]", field, i), &org.Allow[i])
	}
	seen := map[string]bool{}
	for i, service := range org.Services {
		path := fmt.Sprintf("%s.services[%d]", field, i)
		if !v.services[service] {
			v.doc.Add(path, fmt.Sprintf("service %q does not exist; declare it under services", service))
		}
		v.checkListedOnce(path, service, seen)
	}
	v.checkNotNegative(field+".limits.requestsPerSecond", org.Limits.RequestsPerSecond)
	v.checkNotNegative(field+".limits.tokensPerSecond", org.Limits.TokensPerSecond)
	v.checkNotNegative(field+".limits.costPerDay", org.Limits.CostPerDay)
}

// checkListedOnce reports a value that is already in seen, and adds it to seen.
func (v *validator) checkListedOnce(field, value string, seen map[string]bool) {
	if seen[value] {
		v.doc.Add(field, fmt.Sprintf("%q is listed twice; remove one", value))
	}
	seen[value] = true
}

func (v *validator) checkKeyHash(field, hash, organisation string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != 32 {
		v.doc.Add(field, "is not a SHA-256 hash; write 64 hexadecimal digits")
		return
	}
	key := strings.ToLower(hash)
	if owner, ok := v.organisationByKeyHash[key]; ok {
		v.doc.Add(field, fmt.Sprintf("is listed twice (also for organisation %q); each key belongs to one organisation", owner))
	}
	v.organisationByKeyHash[key] = organisation
}

func (v *validator) checkAllowance(field string, allow *api.Allowance) {
	if !v.models[allow.Model] {
		v.doc.Add(field+".model", fmt.Sprintf("model %q does not exist; declare it under models", allow.Model))
		return
	}
	if len(allow.Versions) == 0 {
		v.doc.Add(field+".versions", "is empty; name at least one version")
	}
	seen := map[string]bool{}
	for i, version := range allow.Versions {
		path := fmt.Sprintf("%s.versions[%d]", field, i)
		if v.versions[VersionID{Model: allow.Model, Version: version}] == nil {
			v.doc.Add(path, fmt.Sprintf("version %q of model %q does not exist; declare it under models", version, allow.Model))
		}
		v.checkListedOnce(path, version, seen)
	}
	if allow.Classes == nil {
		return
	}
	seen = map[string]bool{}
	for i, class := range *allow.Classes {
		path := fmt.Sprintf("%s.classes[%d]", field, i)
		if !v.classes[class] {
			v.doc.Add(path, fmt.Sprintf("class %q does not exist; declare it under classes", class))
		}
		v.checkListedOnce(path, class, seen)
	}
}
