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
