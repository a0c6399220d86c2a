package gateway

import (
	"context"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/coldstart"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// RouteKind says whether requests of a route may be repeated and how they are answered.
type RouteKind int

// The kinds of routes.
const (
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce RouteKind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a series of events.
	KindStream
)

// WeightedService is a service of a route with its weight in the traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps requests to services and limits their time and attempts.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// UnknownKind is set if the declaration names no kind that is known. Kind is then the most cautious one.
	UnknownKind bool
	// Resumable is set if a stream may resume at another server after the last event that was delivered to the caller.
	Resumable bool
	// Timeout is the longest time until the answer is complete; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, is on time.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream that is on time.
	TargetGap time.Duration
	// Priority is the priority of requests of the route; 0 is the most urgent.
	Priority int
	// Models are the models that may answer requests of the route, smallest first; empty if the caller names the model.
	Models []string
	// AllowsNoModel is set if the declaration lists the models that may answer, and the list is empty.
	AllowsNoModel bool
	Services      []WeightedService
	// MaxAttempts is the largest number of attempts in which servers run one request.
	MaxAttempts int
	// AllowAnonymous is set if requests need no API key. A key that a request carries all the same must be known.
	AllowAnonymous bool
	// HasPrompt is set if requests carry a model and a prompt.
	HasPrompt bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// mayAnswer reports whether the model that the request names, if any, is among those of the route. A route without models leaves the choice to
// the caller.
func (r *Route) mayAnswer(request *Request) bool {
	return len(r.Models) == 0 || request.Model == "" || request.AnyModel || slices.Contains(r.Models, request.Model)
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one server accepts from all instances together; zero if unknown.
	MaxConnections int
	// ModelCosts is the cost of 1,000 generated tokens by model.
	ModelCosts map[string]float64
	// EngineSlots is the number of requests that the engine of one server runs in a batch; zero for a service without an engine.
	EngineSlots int
	// ColdStart bounds the requests to cold servers; the zero value is no bound.
	ColdStart coldstart.Bound
}

// workWeight returns the time that a token of the model takes relative to one of the largest model. Costs are declared in proportion to the
// time of the servers.
func (s *Service) workWeight(model string) float64 {
	largest := 0.0
	for _, cost := range s.ModelCosts {
		largest = max(largest, cost)
	}
	if cost := s.ModelCosts[model]; cost > 0 {
		return cost / largest
	}
	return 1
}

// sharesLoad reports whether the instances tell each other the load of the servers. With more instances than slots, most servers run less than
// one request of an instance, so that its own requests say little about the load of a server.
func (s *Service) sharesLoad(instances int) bool {
	return s.EngineSlots > 0 && s.EngineSlots < instances
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority, if set, overrides the priority of the route.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's declaration. It is immutable after Compile.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// AllowAnonymous is set if the declaration has no list of organisations at all, so that no request needs an API key. An empty list is
	// different: the operator took the last organisation away, and no key is valid.
	AllowAnonymous bool
	Limits         Limits
	// Document is the encoded form, which other instances fetch.
	Document []byte

	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	// mostUrgent holds, by service, the most urgent priority of its routes.
	mostUrgent map[string]int
}

// SharesLoad reports whether the instances of a fleet of this size tell each other the load of the servers of some service.
func (c *Configuration) SharesLoad(instances int) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.sharesLoad(instances) })
}

// Compile builds the lookup maps and returns the configuration.
func (c *Configuration) Compile() *Configuration {
	c.hosts = map[string][]*Route{}
	c.services = map[string]*Service{}
	c.keys = map[string]*Organisation{}
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Host == "" || route.PathPrefix == "" {
			// An empty prefix begins each path, and a request may name no host.
			continue
		}
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].PathPrefix) > len(routes[b].PathPrefix) })
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.mostUrgent = map[string]int{}
	for i := range c.Routes {
		for _, target := range c.Routes[i].Services {
			if known, ok := c.mostUrgent[target.Service]; !ok || c.Routes[i].Priority < known {
				c.mostUrgent[target.Service] = c.Routes[i].Priority
			}
		}
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			// A request without a key has an empty one.
			if key != "" {
				c.keys[key] = &c.Organisations[i]
			}
		}
	}
	return c
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, route := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns the named service, or a service without settings if it is not declared.
func (c *Configuration) Service(name string) *Service {
	if service, ok := c.services[name]; ok {
		return service
	}
	return &Service{Name: name}
}

// mostUrgentPriority returns the most urgent priority of the routes of a service.
func (c *Configuration) mostUrgentPriority(service string) int { return c.mostUrgent[service] }

// Organisation returns the organisation that an API key belongs to, or nil.
func (c *Configuration) Organisation(key string) *Organisation { return c.keys[key] }

// NeedsKey reports whether requests of the route must carry a known API key. It does not depend on the number of organisations: taking the
// last one away must not open the route.
func (c *Configuration) NeedsKey(route *Route) bool {
	return !c.AllowAnonymous && !route.AllowAnonymous
}

// refusesKey reports whether a request of the route is refused because of its key, which belongs to no organisation. A route that needs no key
// serves requests without one, but not those with a key that was revoked or never existed.
func (c *Configuration) refusesKey(route *Route, key string) bool {
	return c.NeedsKey(route) || key != "" && !c.AllowAnonymous
}

// ConfigurationTable holds the configuration in force. Its version never decreases. It is safe for concurrent use.
type ConfigurationTable struct {
	mu      *lockorder.RWMutex
	current *Configuration
	// ready is closed when the first configuration is in force.
	ready chan struct{}
}

// NewConfigurationTable returns a table without a configuration.
func NewConfigurationTable() *ConfigurationTable {
	return &ConfigurationTable{mu: lockorder.NewRW(lockorder.RankConfiguration), ready: make(chan struct{})}
}

// Await returns the configuration in force. It waits for the first one, and returns nil if the context ends before.
func (t *ConfigurationTable) Await(ctx context.Context) *Configuration {
	select {
	case <-t.ready:
	case <-ctx.Done():
	}
	return t.Current()
}

// Adopt puts a compiled configuration in force unless the one in force has the same or a newer version. It reports whether it
// did so.
func (t *ConfigurationTable) Adopt(c *Configuration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.current.Version >= c.Version {
		return false
	}
	if t.current == nil {
		close(t.ready)
	}
	t.current = c
	return true
}

// Current returns the configuration in force, or nil before the first one.
func (t *ConfigurationTable) Current() *Configuration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Version returns the version of the configuration in force, or 0 before the first one.
func (t *ConfigurationTable) Version() int64 {
	if c := t.Current(); c != nil {
		return c.Version
	}
	return 0
}
