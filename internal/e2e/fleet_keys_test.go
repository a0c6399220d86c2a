package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/oapi-codegen/nullable"

	"github.com/cicadawall/cicadawall/platform/wire"
)

// keyCheck counts requests, so that each has an identifier of its own.
type keyCheck struct {
	f    *fleet
	sent int
}

// expect sends an order with the key and fails the test if the status differs, or if a refused order runs at a backend server.
func (c *keyCheck) expect(i *fleetInstance, when, key string, status int) {
	c.f.t.Helper()
	c.sent++
	id := fmt.Sprintf("key-%d", c.sent)
	got := c.f.sendWithKey(i, http.MethodPost, "/buy/x", id, key)
	ran := len(c.f.runsOf(id))
	if got.status != status || (ran > 0) != (status == http.StatusOK) {
		c.f.t.Errorf("%s, key %q at %s: status %d and %d runs, want status %d", when, key, i.name, got.status, ran, status)
	}
}

// expectClosed checks that no order runs: neither with the revoked key, nor with one that never existed, nor without one.
func (c *keyCheck) expectClosed(i *fleetInstance, when string) {
	c.f.t.Helper()
	for _, key := range []string{fleetKey, "forged", ""} {
		c.expect(i, when, key, http.StatusUnauthorized)
	}
}

// awaitStatus waits until the instance answers requests that have the key with the status.
func (c *keyCheck) awaitStatus(i *fleetInstance, when, key string, status int) {
	c.f.t.Helper()
	eventually(c.f.t, recoveryTimeout, fmt.Sprintf("%s, %s answers %d", when, i.name, status), func() bool {
		return c.f.sendWithKey(i, http.MethodGet, "/look/x", "await", key).status == status
	})
}

func (f *fleet) restart(i *fleetInstance) {
	f.t.Helper()
	i.process.Signal(syscall.SIGKILL)
	i.process.WaitForExit(startTimeout)
	f.startInstanceProcess(i)
}

// Guards against a manifest whose list of organisations is empty that opens all routes to every caller: at instances that get it from the store,
// after a restart, and at an instance that gets it from a peer.
func TestFleetLastOrganisationRemoved(t *testing.T) {
	f := newFleet(t, 2)
	c := &keyCheck{f: f}
	fromStore, fromPeer := f.instances[0], f.instances[1]
	for _, i := range f.instances {
		c.expect(i, "with the organisation", fleetKey, http.StatusOK)
		c.expect(i, "with the organisation", "forged", http.StatusUnauthorized)
	}
	f.writeManifestWith("[]")
	for _, i := range f.instances {
		c.awaitStatus(i, "without organisations", fleetKey, http.StatusUnauthorized)
		c.expectClosed(i, "without organisations")
	}
	f.restart(fromStore)
	f.awaitReady(fromStore)
	c.expectClosed(fromStore, "after a restart")
	fromPeer.storeProxy.setState(linkReset)
	f.restart(fromPeer)
	c.awaitStatus(fromPeer, "with the manifest of a peer", fleetKey, http.StatusUnauthorized)
	c.expectClosed(fromPeer, "with the manifest of a peer")
	fromPeer.storeProxy.setState(linkOpen)
	f.awaitReady(fromPeer)
	f.writeManifest(fleetKey)
	for _, i := range f.instances {
		c.awaitStatus(i, "with the organisation again", fleetKey, http.StatusOK)
		c.expect(i, "with the organisation again", fleetKey, http.StatusOK)
		c.expect(i, "with the organisation again", "forged", http.StatusUnauthorized)
	}
}

// Guards against a manifest that names no organisations at all being taken for one whose list is empty, and against an empty API key that admits
// requests without a key.
func TestFleetMissingOrganisations(t *testing.T) {
	f := newFleet(t, 1)
	c := &keyCheck{f: f}
	i := f.instances[0]
	f.writeManifestWith("")
	c.awaitStatus(i, "without the field", "", http.StatusOK)
	c.expect(i, "without the field", "", http.StatusOK)
	f.writeManifestWith(`[{"Name": "arena-north", "ApiKeys": ["", "other"]}]`)
	c.awaitStatus(i, "with an empty key", "", http.StatusUnauthorized)
	c.expectClosed(i, "with an empty key")
	c.expect(i, "with an empty key", "other", http.StatusOK)
}

// Guards against a route whose list of allowed models is empty that passes requests on with any model.
func TestFleetEmptyModelList(t *testing.T) {
	f := newFleet(t, 1)
	i := f.instances[0]
	manifest := f.nextManifest()
	manifest.Organisations = nullable.NewNullableWithValue([]wire.ManifestTenant{{Name: "arena-north", ApiKeys: []string{fleetKey}}})
	manifest.Routes[0].ModelsBySize = nullable.NewNullableWithValue([]string{})
	f.store.Put("op", "config", f.encode(manifest))
	eventually(t, recoveryTimeout, "a stream is refused", func() bool {
		return f.send(i, http.MethodPost, "/chat/x", "await").status == http.StatusForbidden
	})
	if got := f.send(i, http.MethodPost, "/chat/x", "closed"); got.status != http.StatusForbidden || len(f.runsOf("closed")) > 0 {
		t.Errorf("stream: %+v, %d runs", got, len(f.runsOf("closed")))
	}
	if got := f.send(i, http.MethodGet, "/look/x", "other route"); got.status != http.StatusOK {
		t.Errorf("request on a route without models: %+v", got)
	}
}

// Guards against requests with a key that no organisation has, such as a revoked one, that run on a route which needs no key: at an instance with
// the manifest from the store, after a restart, and at one with the manifest of a peer.
func TestFleetUnknownKeyOnRouteWithoutKeys(t *testing.T) {
	f := newFleet(t, 2)
	c := &keyCheck{f: f}
	f.writeManifestWithOpenOrders("other")
	check := func(i *fleetInstance, when string) {
		t.Helper()
		c.awaitStatus(i, when, fleetKey, http.StatusUnauthorized)
		c.expect(i, when, "", http.StatusOK)
		c.expect(i, when, "other", http.StatusOK)
		c.expect(i, when, "forged", http.StatusUnauthorized)
		c.expect(i, when, fleetKey, http.StatusUnauthorized)
	}
	fromStore, fromPeer := f.instances[0], f.instances[1]
	check(fromStore, "with the manifest of the store")
	f.restart(fromStore)
	f.awaitReady(fromStore)
	check(fromStore, "after a restart")
	fromPeer.storeProxy.setState(linkReset)
	f.restart(fromPeer)
	check(fromPeer, "with the manifest of a peer")
}

// writeManifestWithOpenOrders writes a manifest whose route of orders needs no key, with one organisation that has the key.
func (f *fleet) writeManifestWithOpenOrders(key string) {
	manifest := f.nextManifest()
	manifest.Organisations = nullable.NewNullableWithValue([]wire.ManifestTenant{{Name: "arena-north", ApiKeys: []string{key}}})
	manifest.Routes[1].AllowAnonymous = true
	f.store.Put("op", "config", f.encode(manifest))
}

// Guards against a manifest with a route of an unknown kind that leaves keys valid which it takes away.
func TestFleetRouteOfUnknownKind(t *testing.T) {
	f := newFleet(t, 1)
	c := &keyCheck{f: f}
	i := f.instances[0]
	c.expect(i, "before", fleetKey, http.StatusOK)
	manifest := f.nextManifest()
	manifest.Organisations = nullable.NewNullableWithValue([]wire.ManifestTenant{{Name: "arena-north", ApiKeys: []string{"other"}}})
	manifest.Routes[2].Kind = "odd"
	f.store.Put("op", "config", f.encode(manifest))
	c.awaitStatus(i, "with a route of an unknown kind", fleetKey, http.StatusUnauthorized)
	c.expectClosed(i, "with a route of an unknown kind")
	c.expect(i, "with a route of an unknown kind", "other", http.StatusOK)
	if got := f.sendWithKey(i, http.MethodGet, "/look/x", "odd", "other"); got.status != http.StatusOK || len(f.runsOf("odd")) != 1 {
		t.Errorf("request on the route of an unknown kind: status %d, %d runs", got.status, len(f.runsOf("odd")))
	}
}
