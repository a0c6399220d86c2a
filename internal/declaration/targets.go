package declaration

import (
	"fmt"

	"github.com/cicadawall/cicadawall/internal/api"
)

// checkTargets rejects class targets that no version allowed to any organisation can meet. It ignores the state of versions,
// so that the last version that meets a target can always be withdrawn or quarantined. A class that no organisation may use
// is accepted.
func (v *validator) checkTargets() {
	for i := range v.decl.Classes {
		class := &v.decl.Classes[i]
		allowed := v.versionsAllowedFor(class.Name)
		if len(allowed) == 0 {
			continue
		}
		v.checkReachable(fmt.Sprintf("classes[%d].target", i), class.Target, allowed)
	}
}

// versionsAllowedFor returns the versions that any organisation may use for the class. A version may appear more than once.
func (v *validator) versionsAllowedFor(class string) []*api.Version {
	var found []*api.Version
	for _, org := range v.decl.Organisations {
		for _, allow := range org.Allow {
			if allow.Classes != nil && !contains(*allow.Classes, class) {
				continue
			}
			for _, name := range allow.Versions {
				if version := v.versions[VersionID{Model: allow.Model, Version: name}]; version != nil {
					found = append(found, version)
				}
			}
		}
	}
	return found
}

// checkReachable compares a target with the highest quality and the lowest cost of the allowed versions. A version without
// expectedQuality is assumed to reach any quality. The lowest cost of 1000 requests assumes one prompt token and one
// generated token per request.
func (v *validator) checkReachable(field string, target api.Target, allowed []*api.Version) {
	bestQuality := 0.0
	lowestCost := allowed[0].InputCost + allowed[0].OutputCost
	for _, version := range allowed {
		expected := version.ExpectedQuality
		if expected == 0 {
			expected = 1
		}
		bestQuality = max(bestQuality, expected)
		lowestCost = min(lowestCost, version.InputCost+version.OutputCost)
	}
	if target.Quality > bestQuality {
		v.doc.Add(field+".quality", fmt.Sprintf(
			"%v cannot be met: the best expectedQuality of an allowed version is %v; lower the target or allow a better version",
			target.Quality, bestQuality))
	}
	if target.CostPer1000 > 0 && target.CostPer1000 < lowestCost {
		v.doc.Add(field+".costPer1000", fmt.Sprintf(
			"%v cannot be met: the cheapest allowed version costs at least %v per 1000 requests of one token; raise the target or allow a cheaper version",
			target.CostPer1000, lowestCost))
	}
}
