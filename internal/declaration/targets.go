package declaration

import (
	"fmt"

	"github.com/cicadawall/cicadawall/internal/api"
)

// targets refuses class targets that no allowed version of any organisation can meet. The state of a version does not
// count, so that the last good version of a class can always be withdrawn or quarantined. A class that no organisation
// may use is accepted.
func (v *validator) targets() {
	for i := range v.decl.Classes {
		class := &v.decl.Classes[i]
		allowed := v.allowedFor(class.Name)
		if len(allowed) == 0 {
			continue
		}
		v.reachable(fmt.Sprintf("classes[%d].target", i), class.Target, allowed)
	}
}

func (v *validator) allowedFor(class string) []*api.Version {
	var found []*api.Version
	for _, org := range v.decl.Organisations {
		for _, allow := range org.Allow {
			if len(allow.Classes) > 0 && !contains(allow.Classes, class) {
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

// reachable compares a target with the best that any allowed version can give. A version without expectedQuality may
// reach any quality. The lowest cost of 1000 requests is that of one prompt token and one generated token each.
func (v *validator) reachable(field string, target api.Target, allowed []*api.Version) {
	quality := 0.0
	cost := allowed[0].InputCost + allowed[0].OutputCost
	for _, version := range allowed {
		expected := version.ExpectedQuality
		if expected == 0 {
			expected = 1
		}
		quality = max(quality, expected)
		cost = min(cost, version.InputCost+version.OutputCost)
	}
	if target.Quality > quality {
		v.doc.Add(field+".quality", fmt.Sprintf(
			"%v cannot be met: the best expectedQuality of an allowed version is %v; lower the target or allow a better version",
			target.Quality, quality))
	}
	if target.CostPer1000 > 0 && target.CostPer1000 < cost {
		v.doc.Add(field+".costPer1000", fmt.Sprintf(
			"%v cannot be met: the cheapest allowed version costs at least %v per 1000 requests of one token; raise the target or allow a cheaper version",
			target.CostPer1000, cost))
	}
}
