package cascade

import (
	"cmp"
	"slices"
)

// Bucket aggregates the ratings in one range of confidence.
type Bucket struct {
	Count, Sum, Squares float64
}

// Summary holds the aggregated ratings of one key in the form that instances exchange.
type Summary struct {
	Key
	Buckets [Buckets]Bucket
}

// ClassSummaries returns the summaries of a class, sorted by version and then by the version escalated from.
func (e *Evidence) ClassSummaries(class string) []Summary {
	var out []Summary
	for key, r := range e.bucketsByKey {
		if key.Class != class {
			continue
		}
		summary := Summary{Key: key}
		for b := range r {
			summary.Buckets[b] = Bucket{Count: r[b].count, Sum: r[b].sum, Squares: r[b].sumOfSquares}
		}
		out = append(out, summary)
	}
	slices.SortFunc(out, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Version.String(), b.Version.String()),
			cmp.Compare(a.EscalatedFrom.String(), b.EscalatedFrom.String()))
	})
	return out
}

// ReplaceClass replaces all ratings of a class by the summaries.
func (e *Evidence) ReplaceClass(class string, summaries []Summary) {
	for key := range e.bucketsByKey {
		if key.Class == class {
			delete(e.bucketsByKey, key)
		}
	}
	for _, summary := range summaries {
		summary.Key.Class = class
		r := e.bucketsFor(summary.Key)
		for b := range r {
			r[b] = ratingSums{count: summary.Buckets[b].Count, sum: summary.Buckets[b].Sum, sumOfSquares: summary.Buckets[b].Squares}
		}
	}
}
