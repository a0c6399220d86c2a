package rollout

import (
	"cmp"
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Step is the step that a version's roll-out has reached in a class.
type Step struct {
	Version declaration.VersionID
	// Step is the number of times that the initial fraction was widened.
	Step int
}

// Steps returns the roll-out steps of a class, sorted by version.
func (e *Evidence) Steps(class string) []Step {
	var steps []Step
	for key, progress := range e.progress {
		if key.class == class {
			steps = append(steps, Step{Version: key.version, Step: progress.step})
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Compare(a.Version.String(), b.Version.String()) })
	return steps
}

// Advance adopts the step of a roll-out that has advanced further at another instance. The evidence for the next step starts
// anew.
func (e *Evidence) Advance(class string, step Step) {
	progress := e.progressFor(classVersion{class: class, version: step.Version})
	if target := min(step.Step, finalStep); target > progress.step {
		progress.step = target
		progress.resetBets()
	}
}
