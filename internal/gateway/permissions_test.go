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
