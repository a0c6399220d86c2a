package routing

import (
	"fmt"
	"strings"
	"time"
)

// ScorePart is the part of a candidate's score that one scorer adds.
type ScorePart struct {
	// Scorer is the name of the scorer's type without the package and without "Scorer".
	Scorer string
	Score  time.Duration
}

// ScoreParts returns the parts of a candidate's score by scorer; their sum is the score by which the picker compares candidates.
func (p Policy) ScoreParts(c *Candidate, r *Request, now time.Time) []ScorePart {
	parts := make([]ScorePart, 0, len(p.Scorers))
	for _, scorer := range p.Scorers {
		parts = append(parts, ScorePart{Scorer: scorerName(scorer), Score: scorer.Score(c, r, now)})
	}
	return parts
}

func scorerName(scorer Scorer) string {
	qualified := fmt.Sprintf("%T", scorer)
	return strings.TrimSuffix(qualified[strings.LastIndex(qualified, ".")+1:], "Scorer")
}
