package rollout

import (
	"cmp"
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Step is how far a version's rollout has come in a class.
type Step struct {
	Version declaration.VersionID
	// Step counts how often the first share was widened.
	Step int
}

// Steps returns the rollouts of a class in a fixed order.
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

// Advance takes over a rollout that another instance has brought further. Evidence within the step starts anew.
func (e *Evidence) Advance(class string, step Step) {
	progress := e.rollout(pairKey{class: class, version: step.Version})
	if target := min(step.Step, lastStep); target > progress.step {
		progress.step = target
		progress.restart()
	}
}
