package gateway

import (
	"testing"

	"github.com/cicadawall/cicadawall/internal/fault"
)

// Guards against a route whose list of allowed models is empty that passes on whichever model the caller names, and against refusing requests that
// concern no model.
func TestRouteThatAllowsNoModel(t *testing.T) {
	for _, c := range []struct {
		route   Route
		model   string
		refused bool
	}{
		{route: Route{AllowsNoModel: true, HasPrompt: true}, model: "small", refused: true},
		{route: Route{AllowsNoModel: true, HasPrompt: true}, refused: true},
		{route: Route{AllowsNoModel: true}, model: "small", refused: true},
		{route: Route{AllowsNoModel: true}},
		{route: Route{HasPrompt: true}, model: "small"},
	} {
		c.route.Host, c.route.PathPrefix = "h", "/"
		configuration := (&Configuration{AllowAnonymous: true, Routes: []Route{c.route}}).Compile()
		_, _, refusal := configuration.authorize(&Request{Host: "h", Path: "/x", Model: c.model})
		if (refusal != nil) != c.refused || refusal != nil && refusal.Code != fault.CodeNotAllowed {
			t.Errorf("%+v, model %q: %v", c.route, c.model, refusal)
		}
	}
}

// Guards against a route without mandatory keys that runs requests whose key belongs to no organisation, such as a revoked one.
func TestUnknownKeyOnRouteWithoutKeys(t *testing.T) {
	route := Route{Host: "h", PathPrefix: "/", AllowAnonymous: true}
	organisations := []Organisation{{Name: "t", Keys: []string{"good"}}}
	for _, c := range []struct {
		configuration Configuration
		key           string
		refused       bool
	}{
		{configuration: Configuration{Organisations: organisations}},
		{configuration: Configuration{Organisations: organisations}, key: "good"},
		{configuration: Configuration{Organisations: organisations}, key: "revoked", refused: true},
		{configuration: Configuration{}},
		{configuration: Configuration{}, key: "revoked", refused: true},
		{configuration: Configuration{AllowAnonymous: true}, key: "any"},
	} {
		c.configuration.Routes = []Route{route}
		_, _, refusal := c.configuration.Compile().authorize(&Request{Host: "h", Path: "/x", Key: c.key})
		if (refusal != nil) != c.refused || refusal != nil && refusal.Code != fault.CodeUnauthenticated {
			t.Errorf("%d organisations, key %q: %v", len(c.configuration.Organisations), c.key, refusal)
		}
	}
}

// Guards against a route that names its models and passes on a request that names another one.
func TestModelThatRouteDoesNotList(t *testing.T) {
	for _, c := range []struct {
		models   []string
		model    string
		anyModel bool
		refused  bool
	}{
		{models: []string{"small", "large"}, model: "large"},
		{models: []string{"small", "large"}, model: "*", anyModel: true},
		{models: []string{"small", "large"}},
		{models: []string{"small", "large"}, model: "other", refused: true},
		{model: "other"},
	} {
		route := Route{Host: "h", PathPrefix: "/", HasPrompt: true, Models: c.models}
		configuration := (&Configuration{AllowAnonymous: true, Routes: []Route{route}}).Compile()
		_, _, refusal := configuration.authorize(&Request{Host: "h", Path: "/x", Model: c.model, AnyModel: c.anyModel})
		if (refusal != nil) != c.refused || refusal != nil && refusal.Code != fault.CodeNotAllowed {
			t.Errorf("models %v, request names %q: %v", c.models, c.model, refusal)
		}
	}
}

// Guards against a route without a host or path prefix that serves every path, or requests that name no host.
func TestRouteWithoutHostOrPrefix(t *testing.T) {
	configuration := (&Configuration{Routes: []Route{{Name: "no host", PathPrefix: "/"}, {Name: "no prefix", Host: "h"}}}).Compile()
	for host, path := range map[string]string{"": "/x", "h": "/x", "H": "/"} {
		if route := configuration.Route(host, path); route != nil {
			t.Errorf("host %q, path %s: route %q", host, path, route.Name)
		}
	}
}
