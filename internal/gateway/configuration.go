package gateway

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered by a series of events.
	KindStream
)

// Share is one service of a route with its weight.
type Share struct {
	Service string
	Weight  float64
}

// Route says which requests go to which service and what they may cost in time and attempts.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may go on at another server after the last event that the caller has.
	Resumable bool
	// Timeout is the longest time until the answer is complete; zero means none.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a stream, is on time.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Models may answer requests of the route, smallest first; empty if the caller names the model.
	Models []string
	Shares []Share
	// MaxAttempts is the number of servers that may run one request.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Prompt routes carry a model and a prompt.
	Prompt bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable }

// Service is a group of backend servers.
type Service struct {
	Name string
	// MaxConnections is what one server accepts from all instances together; zero if unknown.
	MaxConnections int
	// ModelCosts is the cost of 1,000 generated tokens by model.
	ModelCosts map[string]float64
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority, if set, goes before the route's.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's declaration. It never changes after Compile.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Document is the encoded form, to be handed to other instances.
	Document []byte

	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// Compile builds the look-ups and returns the configuration.
func (c *Configuration) Compile() *Configuration {
	c.hosts = map[string][]*Route{}
	c.services = map[string]*Service{}
	c.keys = map[string]*Organisation{}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].PathPrefix) > len(routes[b].PathPrefix) })
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.keys[key] = &c.Organisations[i]
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

// Service returns the named service, or an empty one.
func (c *Configuration) Service(name string) *Service {
	if service, ok := c.services[name]; ok {
		return service
	}
	return &Service{Name: name}
}

// Organisation returns the holder of a key, or nil.
func (c *Configuration) Organisation(key string) *Organisation { return c.keys[key] }

// NeedsKey reports whether requests of the route must carry a known key.
func (c *Configuration) NeedsKey(route *Route) bool {
	return len(c.Organisations) > 0 && !route.Anonymous
}

// Configurations is the table of the configuration in force. Its version never goes down. It is safe for concurrent use.
type Configurations struct {
	mu      *lockorder.RWMutex
	current *Configuration
	// first is closed when there is a configuration.
	first chan struct{}
}

// NewConfigurations returns a table without a configuration.
func NewConfigurations() *Configurations {
	return &Configurations{mu: lockorder.NewRW(lockorder.RankConfiguration), first: make(chan struct{})}
}

// Await returns the configuration in force, waiting for the first one until the context ends; then it returns nil.
func (t *Configurations) Await(ctx context.Context) *Configuration {
	select {
	case <-t.first:
	case <-ctx.Done():
	}
	return t.Current()
}

// Adopt puts a compiled configuration in force unless a newer or the same one is, and reports whether it did.
func (t *Configurations) Adopt(c *Configuration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.current.Version >= c.Version {
		return false
	}
	if t.current == nil {
		close(t.first)
	}
	t.current = c
	return true
}

// Current returns the configuration in force, or nil before the first one.
func (t *Configurations) Current() *Configuration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Version returns the version in force, or 0.
func (t *Configurations) Version() int64 {
	if c := t.Current(); c != nil {
		return c.Version
	}
	return 0
}
