package engine

import (
	"cmp"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Defaults for settings that are zero.
const (
	defaultBatch         = 16
	defaultQueue         = 64
	defaultTokenMillis   = 10
	defaultPrefillMicros = 100
	defaultCacheBlocks   = 4096
	defaultRole          = "mixed"
)

type versionKey struct{ model, version string }

type versionState struct {
	settings api.EngineStandinVersion
	// readyAt is the time at which loading the version completes.
	readyAt    time.Time
	startCount int
}

// stateTable holds the settings, faults, versions, fence and counters of the engine.
type stateTable struct {
	mu       *lockorder.Mutex
	settings api.EngineStandinSettings
	faults   api.EngineStandinFaults
	versions map[versionKey]*versionState
	fence    int64
	role     string
	counts   api.EngineStandinCounts
}

func withDefaults(settings api.EngineStandinSettings) api.EngineStandinSettings {
	settings.Batch = cmp.Or(settings.Batch, defaultBatch)
	settings.Queue = cmp.Or(settings.Queue, defaultQueue)
	settings.TokenMillis = cmp.Or(settings.TokenMillis, defaultTokenMillis)
	settings.PrefillMicros = cmp.Or(settings.PrefillMicros, defaultPrefillMicros)
	settings.CacheBlocks = cmp.Or(settings.CacheBlocks, defaultCacheBlocks)
	settings.Slots = cmp.Or(settings.Slots, max(1, len(settings.Versions)))
	return settings
}

func newStateTable(settings api.EngineStandinSettings) *stateTable {
	t := &stateTable{mu: lockorder.New(lockorder.RankStandin), versions: map[versionKey]*versionState{}, role: defaultRole}
	t.setSettings(settings)
	return t
}

// setSettings replaces the settings. Versions that they name are added or changed; other versions stay as they are. The
// sizes of batch, queue and cache remain those given to New, and so does the number of slots if it is zero.
func (t *stateTable) setSettings(settings api.EngineStandinSettings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	settings.Slots = cmp.Or(settings.Slots, t.settings.Slots)
	settings = withDefaults(settings)
	for _, version := range settings.Versions {
		t.setVersionLocked(version)
	}
	settings.Versions = nil
	t.settings = settings
}

// setVersionLocked adds a version, or changes the quality and answer length of a known version. Only commands change whether
// a known version is loaded.
func (t *stateTable) setVersionLocked(version api.EngineStandinVersion) {
	key := versionKey{version.Model, version.Version}
	if state := t.versions[key]; state != nil {
		state.settings.Quality = cmp.Or(version.Quality, state.settings.Quality)
		state.settings.Tokens = cmp.Or(version.Tokens, state.settings.Tokens)
		return
	}
	version.Quality = cmp.Or(version.Quality, defaultQuality)
	t.versions[key] = &versionState{settings: version}
}

// setVersion adds or changes a version, for example to lower the quality of its answers from now on.
func (t *stateTable) setVersion(version api.EngineStandinVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setVersionLocked(version)
}

func (t *stateTable) getSettings() api.EngineStandinSettings {
	t.mu.Lock()
	defer t.mu.Unlock()
	settings := t.settings
	for _, key := range t.keysLocked() {
		settings.Versions = append(settings.Versions, t.versions[key].settings)
	}
	return settings
}

func (t *stateTable) setDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.Draining = draining
}

func (t *stateTable) keysLocked() []versionKey {
	keys := make([]versionKey, 0, len(t.versions))
	for key := range t.versions {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].model != keys[j].model {
			return keys[i].model < keys[j].model
		}
		return keys[i].version < keys[j].version
	})
	return keys
}

// findLoaded returns the settings of a version and reports whether it is loaded at the given time.
func (t *stateTable) findLoaded(model, version string, now time.Time) (api.EngineStandinVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.versions[versionKey{model, version}]
	if state == nil || !state.settings.Loaded || now.Before(state.readyAt) {
		return api.EngineStandinVersion{}, false
	}
	return state.settings, true
}

func (t *stateTable) loadedVersions(now time.Time) []api.LoadedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadedLocked(now)
}

// loadingVersions returns the versions that are still being loaded.
func (t *stateTable) loadingVersions(now time.Time) []api.LoadedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var versions []api.LoadedVersion
	for _, key := range t.keysLocked() {
		state := t.versions[key]
		if state.settings.Loaded && now.Before(state.readyAt) {
			versions = append(versions, api.LoadedVersion{Model: key.model, Version: key.version})
		}
	}
	return versions
}

func (t *stateTable) loadedLocked(now time.Time) []api.LoadedVersion {
	versions := []api.LoadedVersion{}
	for _, key := range t.keysLocked() {
		state := t.versions[key]
		if state.settings.Loaded && !now.Before(state.readyAt) {
			versions = append(versions, api.LoadedVersion{Model: key.model, Version: key.version})
		}
	}
	return versions
}

// applyCommand loads or unloads a version or sets the role. It reports false, without an effect, if fences are checked and a
// command with a higher fence has been applied.
func (t *stateTable) applyCommand(command api.EngineCommand, now time.Time) (api.EngineState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.settings.ChecksFence && command.Fence < t.fence {
		return api.EngineState{}, false
	}
	t.fence = max(t.fence, command.Fence)
	switch command.Action {
	case api.ActionLoad:
		t.loadLocked(command, now)
	case api.ActionUnload:
		if state := t.versions[versionKey{command.Model, command.Version}]; state != nil {
			state.settings.Loaded = false
		}
	case api.ActionRole:
		t.role = command.Role
	}
	return api.EngineState{Fence: t.fence, Role: t.role, Versions: t.loadedLocked(now)}, true
}

func (t *stateTable) loadLocked(command api.EngineCommand, now time.Time) {
	key := versionKey{command.Model, command.Version}
	state := t.versions[key]
	if state == nil {
		t.setVersionLocked(api.EngineStandinVersion{Model: command.Model, Version: command.Version})
		state = t.versions[key]
	}
	if state.settings.Loaded {
		return
	}
	state.settings.Loaded = true
	state.readyAt = now.Add(time.Duration(t.settings.LoadMillis) * time.Millisecond)
}
