package declaration

import (
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/yamldoc"
)

// Defaults of the schema.
const (
	defaultRatingFraction    = 0.05
	defaultWeight            = 1
	defaultCallTimeoutMillis = 10_000
)

// Parse reads and validates a declaration and applies the defaults of the schema. It returns either a declaration or at
// least one problem. The file name is used only in the problems.
func Parse(file string, text []byte) (*api.Declaration, []api.Problem) {
	decl := &api.Declaration{}
	doc := yamldoc.Decode(file, text, decl)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	v := newValidator(doc, decl)
	v.checkDeclaration()
	if len(doc.Problems()) == 0 {
		v.checkTargets()
	}
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	applyDefaults(decl)
	return decl, nil
}

func applyDefaults(decl *api.Declaration) {
	for i := range decl.Models {
		versions := decl.Models[i].Versions
		for j := range versions {
			if versions[j].State == "" {
				versions[j].State = api.VersionServing
			}
		}
	}
	for i := range decl.Classes {
		applyClassDefaults(&decl.Classes[i])
	}
	for i := range decl.Services {
		calls := decl.Services[i].Calls
		for j := range calls {
			if calls[j].TimeoutMillis == 0 {
				calls[j].TimeoutMillis = defaultCallTimeoutMillis
			}
		}
	}
	for i := range decl.Organisations {
		if decl.Organisations[i].Weight == 0 {
			decl.Organisations[i].Weight = defaultWeight
		}
	}
}

func applyClassDefaults(class *api.Class) {
	if class.WhenUnmet == "" {
		class.WhenUnmet = api.UnmetBestEffort
	}
	if class.Repeatable == nil {
		repeatable := true
		class.Repeatable = &repeatable
	}
	if class.RatingFraction == nil {
		fraction := defaultRatingFraction
		class.RatingFraction = &fraction
	}
}
