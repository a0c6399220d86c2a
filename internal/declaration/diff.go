package declaration

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cicadawall/cicadawall/internal/api"
)

// ChangeKind says how a field differs between two declarations.
type ChangeKind string

// Kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Change is one difference between two declarations. Entries are named, not numbered, so that reordering is no change.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Field string     `json:"field"`
	Old   string     `json:"old,omitempty"`
	New   string     `json:"new,omitempty"`
}

// String returns one readable line.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case ChangeRemoved:
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
}

// Diff returns the differences in the order of their fields. Both declarations must come from Parse; nil stands for an
// empty one.
func Diff(old, new *api.Declaration) []Change {
	before, after := flatten(old), flatten(new)
	var changes []Change
	for field, value := range before {
		now, kept := after[field]
		switch {
		case !kept:
			changes = append(changes, Change{Kind: ChangeRemoved, Field: field, Old: value})
		case now != value:
			changes = append(changes, Change{Kind: ChangeChanged, Field: field, Old: value, New: now})
		}
	}
	for field, value := range after {
		if _, known := before[field]; !known {
			changes = append(changes, Change{Kind: ChangeAdded, Field: field, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

type flat map[string]string

func flatten(decl *api.Declaration) flat {
	out := flat{}
	if decl == nil {
		return out
	}
	for _, model := range decl.Models {
		for _, version := range model.Versions {
			out.version(fmt.Sprintf("model %s version %s", model.Name, version.Name), version)
		}
	}
	for _, class := range decl.Classes {
		out.class("class "+class.Name, class)
	}
	for _, service := range decl.Services {
		for _, call := range service.Calls {
			at := fmt.Sprintf("service %s call %s %s", service.Name, call.Method, call.Path)
			out.set(at+" repeatable", call.Repeatable)
			out.set(at+" timeoutMillis", call.TimeoutMillis)
		}
	}
	for _, org := range decl.Organisations {
		out.organisation("organisation "+org.Name, org)
	}
	return out
}

func (f flat) set(field string, value any) { f[field] = fmt.Sprint(value) }

func (f flat) version(at string, version api.Version) {
	f.set(at+" state", version.State)
	f.set(at+" inputCost", version.InputCost)
	f.set(at+" outputCost", version.OutputCost)
	f.set(at+" expectedQuality", version.ExpectedQuality)
	if version.QuarantineReason != "" {
		f.set(at+" quarantineReason", version.QuarantineReason)
	}
}

func (f flat) class(at string, class api.Class) {
	f.set(at+" priority", class.Priority)
	f.set(at+" whenUnmet", class.WhenUnmet)
	f.set(at+" repeatable", *class.Repeatable)
	f.set(at+" ratingShare", *class.RatingFraction)
	f.set(at+" target quality", class.Target.Quality)
	f.set(at+" target firstTokenMillis", class.Target.FirstTokenMillis)
	f.set(at+" target interTokenMillis", class.Target.InterTokenMillis)
	f.set(at+" target deadlineMillis", class.Target.DeadlineMillis)
	f.set(at+" target costPer1000", class.Target.CostPer1000)
}

func (f flat) organisation(at string, org api.Organisation) {
	f.set(at+" weight", org.Weight)
	f.set(at+" limits requestsPerSecond", org.Limits.RequestsPerSecond)
	f.set(at+" limits tokensPerSecond", org.Limits.TokensPerSecond)
	f.set(at+" limits costPerDay", org.Limits.CostPerDay)
	for _, hash := range org.KeyHashes {
		f.set(at+" key "+strings.ToLower(hash), "present")
	}
	for _, service := range org.Services {
		f.set(at+" service "+service, "allowed")
	}
	for _, allow := range org.Allow {
		classes := allow.Classes
		if len(classes) == 0 {
			classes = []string{"(all)"}
		}
		for _, version := range allow.Versions {
			for _, class := range classes {
				f.set(fmt.Sprintf("%s version %s@%s for class %s", at, allow.Model, version, class), "allowed")
			}
		}
	}
}
