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

// Change is one difference between two declarations. Field identifies entries by name and not by index, so that reordering
// them gives no change.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Field string     `json:"field"`
	Old   string     `json:"old,omitempty"`
	New   string     `json:"new,omitempty"`
}

// String returns the change as one line of text for the operator.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case ChangeRemoved:
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
}

// Diff returns the differences sorted by field. Both declarations must come from Parse, which applies the defaults; nil
// stands for an empty declaration.
func Diff(old, new *api.Declaration) []Change {
	oldFields, newFields := flatten(old), flatten(new)
	var changes []Change
	for field, value := range oldFields {
		newValue, present := newFields[field]
		switch {
		case !present:
			changes = append(changes, Change{Kind: ChangeRemoved, Field: field, Old: value})
		case newValue != value:
			changes = append(changes, Change{Kind: ChangeChanged, Field: field, Old: value, New: newValue})
		}
	}
	for field, value := range newFields {
		if _, known := oldFields[field]; !known {
			changes = append(changes, Change{Kind: ChangeAdded, Field: field, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

// fieldValues maps the name of each declared field to its value as text.
type fieldValues map[string]string

// flatten returns all fields of the declaration; nil gives no fields.
func flatten(decl *api.Declaration) fieldValues {
	out := fieldValues{}
	if decl == nil {
		return out
	}
	for _, model := range decl.Models {
		for _, version := range model.Versions {
			out.setVersion(fmt.Sprintf("model %s version %s", model.Name, version.Name), version)
		}
	}
	for _, class := range decl.Classes {
		out.setClass("class "+class.Name, class)
	}
	for _, service := range decl.Services {
		for _, call := range service.Calls {
			prefix := fmt.Sprintf("service %s call %s %s", service.Name, call.Method, call.Path)
			out.set(prefix+" repeatable", call.Repeatable)
			out.set(prefix+" timeoutMillis", call.TimeoutMillis)
		}
	}
	for _, org := range decl.Organisations {
		out.setOrganisation("organisation "+org.Name, org)
	}
	for _, zone := range decl.EvacuatedAvailabilityZones {
		out.set("availability zone "+zone, "evacuated")
	}
	return out
}

func (f fieldValues) set(field string, value any) { f[field] = fmt.Sprint(value) }

func (f fieldValues) setVersion(prefix string, version api.Version) {
	f.set(prefix+" state", version.State)
	f.set(prefix+" inputCost", version.InputCost)
	f.set(prefix+" outputCost", version.OutputCost)
	f.set(prefix+" expectedQuality", version.ExpectedQuality)
	if version.QuarantineReason != "" {
		f.set(prefix+" quarantineReason", version.QuarantineReason)
	}
}

func (f fieldValues) setClass(prefix string, class api.Class) {
	f.set(prefix+" priority", class.Priority)
	f.set(prefix+" whenUnmet", class.WhenUnmet)
	f.set(prefix+" repeatable", *class.Repeatable)
	f.set(prefix+" ratingShare", *class.RatingFraction)
	f.set(prefix+" target quality", class.Target.Quality)
	f.set(prefix+" target firstTokenMillis", class.Target.FirstTokenMillis)
	f.set(prefix+" target interTokenMillis", class.Target.InterTokenMillis)
	f.set(prefix+" target deadlineMillis", class.Target.DeadlineMillis)
	f.set(prefix+" target costPer1000", class.Target.CostPer1000)
}

func (f fieldValues) setOrganisation(prefix string, org api.Organisation) {
	f.set(prefix+" weight", org.Weight)
	f.set(prefix+" limits requestsPerSecond", org.Limits.RequestsPerSecond)
	f.set(prefix+" limits tokensPerSecond", org.Limits.TokensPerSecond)
	f.set(prefix+" limits costPerDay", org.Limits.CostPerDay)
	for _, hash := range org.KeyHashes {
		f.set(prefix+" key "+strings.ToLower(hash), "present")
	}
	for _, service := range org.Services {
		f.set(prefix+" service "+service, "allowed")
	}
	for _, allow := range org.Allow {
		classes := []string{"(all)"}
		if allow.Classes != nil {
			classes = *allow.Classes
		}
		for _, version := range allow.Versions {
			for _, class := range classes {
				f.set(fmt.Sprintf("%s version %s@%s for class %s", prefix, allow.Model, version, class), "allowed")
			}
		}
	}
}
