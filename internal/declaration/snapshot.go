// Package declaration parses, validates, compares and compiles the declaration that operators share: models and their
// versions, classes and their targets, plain services, and organisations with the versions and services that each may use.
package declaration

import (
	"strings"

	"github.com/cicadawall/cicadawall/internal/api"
)

// VersionID identifies one version of a model.
type VersionID struct {
	Model   string
	Version string
}

// String returns model@version.
func (id VersionID) String() string { return id.Model + "@" + id.Version }

// ParseVersionID parses model@version. It returns the zero value for text without an @.
func ParseVersionID(text string) VersionID {
	model, version, ok := strings.Cut(text, "@")
	if !ok {
		return VersionID{}
	}
	return VersionID{Model: model, Version: version}
}

// Snapshot is an immutable, compiled declaration of one revision. It is safe for concurrent use.
type Snapshot struct {
	Revision int64
	Document *api.Declaration

	organisations         map[string]*api.Organisation
	organisationByKeyHash map[string]string
	classes               map[string]*api.Class
	versions              map[VersionID]*api.Version
	versionOrder          []VersionID
	services              map[string]*api.PlainService
	allowances            map[string][]allowance
}

// allowance permits an organisation to use a version. A nil classes permits it for all classes, an empty one for none.
type allowance struct {
	version VersionID
	classes map[string]bool
}

// Compile builds a snapshot from a declaration that passed validation.
func Compile(revision int64, doc *api.Declaration) *Snapshot {
	s := &Snapshot{
		Revision:              revision,
		Document:              doc,
		organisations:         map[string]*api.Organisation{},
		organisationByKeyHash: map[string]string{},
		classes:               map[string]*api.Class{},
		versions:              map[VersionID]*api.Version{},
		services:              map[string]*api.PlainService{},
		allowances:            map[string][]allowance{},
	}
	for i := range doc.Models {
		model := &doc.Models[i]
		for j := range model.Versions {
			id := VersionID{Model: model.Name, Version: model.Versions[j].Name}
			s.versions[id] = &model.Versions[j]
			s.versionOrder = append(s.versionOrder, id)
		}
	}
	for i := range doc.Classes {
		s.classes[doc.Classes[i].Name] = &doc.Classes[i]
	}
	for i := range doc.Services {
		s.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Organisations {
		s.addOrganisation(&doc.Organisations[i])
	}
	return s
}

func (s *Snapshot) addOrganisation(org *api.Organisation) {
	s.organisations[org.Name] = org
	for _, hash := range org.KeyHashes {
		s.organisationByKeyHash[strings.ToLower(hash)] = org.Name
	}
	for _, allow := range org.Allow {
		for _, version := range allow.Versions {
			entry := allowance{version: VersionID{Model: allow.Model, Version: version}}
			if allow.Classes != nil {
				entry.classes = map[string]bool{}
				for _, class := range *allow.Classes {
					entry.classes[class] = true
				}
			}
			s.allowances[org.Name] = append(s.allowances[org.Name], entry)
		}
	}
}

// OrganisationByKeyHash returns the organisation that has an API key with the SHA-256 hash (lower-case hex).
func (s *Snapshot) OrganisationByKeyHash(hash string) (*api.Organisation, bool) {
	name, ok := s.organisationByKeyHash[hash]
	if !ok {
		return nil, false
	}
	return s.organisations[name], true
}

// Organisation returns the named organisation.
func (s *Snapshot) Organisation(name string) (*api.Organisation, bool) {
	org, ok := s.organisations[name]
	return org, ok
}

// Class returns the named class.
func (s *Snapshot) Class(name string) (*api.Class, bool) {
	class, ok := s.classes[name]
	return class, ok
}

// Version returns the declaration of the version.
func (s *Snapshot) Version(id VersionID) (*api.Version, bool) {
	version, ok := s.versions[id]
	return version, ok
}

// Versions returns all versions in the order of the declaration.
func (s *Snapshot) Versions() []VersionID { return s.versionOrder }

// Service returns the named plain service.
func (s *Snapshot) Service(name string) (*api.PlainService, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Evacuated reports whether the backend servers of the availability zone must get no requests. A nil snapshot evacuates none.
func (s *Snapshot) Evacuated(zone string) bool {
	return s != nil && contains(s.Document.EvacuatedAvailabilityZones, zone)
}

// EvacuatedZones returns the number of evacuated availability zones. A nil snapshot evacuates none.
func (s *Snapshot) EvacuatedZones() int {
	if s == nil {
		return 0
	}
	return len(s.Document.EvacuatedAvailabilityZones)
}

// Usable reports whether the state of the version permits new requests.
func (s *Snapshot) Usable(id VersionID) bool {
	version, ok := s.versions[id]
	if !ok {
		return false
	}
	return version.State == "" || version.State == api.VersionServing || version.State == api.VersionRollout
}

// Allowed reports whether the organisation may use the version for the class. It does not consider the state of the version.
func (s *Snapshot) Allowed(organisation, class string, id VersionID) bool {
	for _, entry := range s.allowances[organisation] {
		if entry.version == id && (entry.classes == nil || entry.classes[class]) {
			return true
		}
	}
	return false
}

// AllowedVersions returns the versions that the organisation may use for the class and whose state permits new requests.
func (s *Snapshot) AllowedVersions(organisation, class string) []VersionID {
	var ids []VersionID
	for _, entry := range s.allowances[organisation] {
		if (entry.classes == nil || entry.classes[class]) && s.Usable(entry.version) {
			ids = append(ids, entry.version)
		}
	}
	return ids
}

// ServiceCall returns the declared call of the service that matches the method and path, if the organisation may use the
// service.
func (s *Snapshot) ServiceCall(organisation, service, method, path string) (*api.ServiceCall, bool) {
	org, ok := s.organisations[organisation]
	if !ok || !contains(org.Services, service) {
		return nil, false
	}
	declared, ok := s.services[service]
	if !ok {
		return nil, false
	}
	for i := range declared.Calls {
		call := &declared.Calls[i]
		if string(call.Method) == method && matchPath(call.Path, path) {
			return call, true
		}
	}
	return nil, false
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// matchPath reports whether the path matches the pattern. A pattern segment in braces matches any single non-empty segment.
func matchPath(pattern, path string) bool {
	patternSegments := strings.Split(strings.Trim(pattern, "/"), "/")
	pathSegments := strings.Split(strings.Trim(path, "/"), "/")
	if len(patternSegments) != len(pathSegments) {
		return false
	}
	for i := range patternSegments {
		wildcard := strings.HasPrefix(patternSegments[i], "{") && strings.HasSuffix(patternSegments[i], "}") && pathSegments[i] != ""
		if !wildcard && patternSegments[i] != pathSegments[i] {
			return false
		}
	}
	return true
}
