package cascade

import (
	"cmp"
	"slices"
)

// Bucket is the sum of the ratings in one range of confidence.
type Bucket struct {
	Count, Sum, Squares float64
}

// Summary is the evidence of one key, as instances exchange it.
type Summary struct {
	Key
	Buckets [Buckets]Bucket
}

// Class returns the evidence of a class in a fixed order.
func (e *Evidence) Class(class string) []Summary {
	var out []Summary
	for key, r := range e.rows {
		if key.Class != class {
			continue
		}
		summary := Summary{Key: key}
		for b := range r {
			summary.Buckets[b] = Bucket{Count: r[b].count, Sum: r[b].sum, Squares: r[b].squares}
		}
		out = append(out, summary)
	}
	slices.SortFunc(out, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Version.String(), b.Version.String()), cmp.Compare(a.After.String(), b.After.String()))
	})
	return out
}

// Replace puts the summaries in the place of all evidence of the class.
func (e *Evidence) Replace(class string, summaries []Summary) {
	for key := range e.rows {
		if key.Class == class {
			delete(e.rows, key)
		}
	}
	for _, summary := range summaries {
		summary.Key.Class = class
		r := e.row(summary.Key)
		for b := range r {
			r[b] = cell{count: summary.Buckets[b].Count, sum: summary.Buckets[b].Sum, squares: summary.Buckets[b].Squares}
		}
	}
}
