// Package declaration holds the shared declarations of operators: classes, targets, organisations and the versions that
// each may use. It parses, validates, compares and compiles them.
package declaration

import (
	"strings"

	"github.com/cicadawall/cicadawall/internal/api"
)

// VersionID names one version of a model.
type VersionID struct {
	Model   string
	Version string
}

// String returns model@version.
func (id VersionID) String() string { return id.Model + "@" + id.Version }

// ParseVersionID reads model@version. Text of another form gives the zero value.
func ParseVersionID(text string) VersionID {
	model, version, ok := strings.Cut(text, "@")
	if !ok {
		return VersionID{}
	}
	return VersionID{Model: model, Version: version}
}

// Snapshot is an immutable compiled declaration at one revision. It is safe for concurrent use.
type Snapshot struct {
	Revision int64
	Document *api.Declaration

	organisations map[string]*api.Organisation
	keys          map[string]string
	classes       map[string]*api.Class
	versions      map[VersionID]*api.Version
	order         []VersionID
	services      map[string]*api.PlainService
	allowed       map[string][]allowance
}

type allowance struct {
	id      VersionID
	classes map[string]bool
}

// Compile builds a snapshot from a declaration that passed validation.
func Compile(revision int64, doc *api.Declaration) *Snapshot {
	s := &Snapshot{
		Revision:      revision,
		Document:      doc,
		organisations: map[string]*api.Organisation{},
		keys:          map[string]string{},
		classes:       map[string]*api.Class{},
		versions:      map[VersionID]*api.Version{},
		services:      map[string]*api.PlainService{},
		allowed:       map[string][]allowance{},
	}
	for i := range doc.Models {
		model := &doc.Models[i]
		for j := range model.Versions {
			id := VersionID{Model: model.Name, Version: model.Versions[j].Name}
			s.versions[id] = &model.Versions[j]
			s.order = append(s.order, id)
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
		s.keys[strings.ToLower(hash)] = org.Name
	}
	for _, allow := range org.Allow {
		for _, version := range allow.Versions {
			entry := allowance{id: VersionID{Model: allow.Model, Version: version}}
			if len(allow.Classes) > 0 {
				entry.classes = map[string]bool{}
			}
			for _, class := range allow.Classes {
				entry.classes[class] = true
			}
			s.allowed[org.Name] = append(s.allowed[org.Name], entry)
		}
	}
}

// OrganisationByKeyHash returns the organisation whose key has the SHA-256 hash (lower-case hex).
func (s *Snapshot) OrganisationByKeyHash(hash string) (*api.Organisation, bool) {
	name, ok := s.keys[hash]
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

// Version returns the version's declaration.
func (s *Snapshot) Version(id VersionID) (*api.Version, bool) {
	version, ok := s.versions[id]
	return version, ok
}

// Versions returns all versions in the order of the declaration.
func (s *Snapshot) Versions() []VersionID { return s.order }

// Service returns the named plain service.
func (s *Snapshot) Service(name string) (*api.PlainService, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Usable reports whether the version may receive new work.
func (s *Snapshot) Usable(id VersionID) bool {
	version, ok := s.versions[id]
	if !ok {
		return false
	}
	return version.State == "" || version.State == api.VersionServing || version.State == api.VersionRollout
}

// Allowed reports whether the organisation may use the version for the class, whatever the version's state.
func (s *Snapshot) Allowed(organisation, class string, id VersionID) bool {
	for _, entry := range s.allowed[organisation] {
		if entry.id == id && (entry.classes == nil || entry.classes[class]) {
			return true
		}
	}
	return false
}

// AllowedVersions returns the versions that the organisation may use for the class and that may receive new work.
func (s *Snapshot) AllowedVersions(organisation, class string) []VersionID {
	var ids []VersionID
	for _, entry := range s.allowed[organisation] {
		if (entry.classes == nil || entry.classes[class]) && s.Usable(entry.id) {
			ids = append(ids, entry.id)
		}
	}
	return ids
}

// ServiceCall returns the declared call of the service that matches method and path, if the organisation may use it.
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

// matchPath compares a path with a pattern in which a segment in braces matches any one non-empty segment.
func matchPath(pattern, path string) bool {
	want := strings.Split(strings.Trim(pattern, "/"), "/")
	got := strings.Split(strings.Trim(path, "/"), "/")
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		wildcard := strings.HasPrefix(want[i], "{") && strings.HasSuffix(want[i], "}") && got[i] != ""
		if !wildcard && want[i] != got[i] {
			return false
		}
	}
	return true
}
