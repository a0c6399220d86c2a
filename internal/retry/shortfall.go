package retry

import "time"

// shortfallQuiet is the time without a refusal after which a budget counts as available again. A budget that binds refuses several attempts a
// second; the time keeps it from logging each of them.
const shortfallQuiet = time.Second

// shortfall is a time in which a budget refuses attempts.
type shortfall struct {
	since, last time.Time
	refusals    int
}

// record counts a refusal and reports whether it is the first one.
func (s *shortfall) record(now time.Time) bool {
	if s.refusals == 0 {
		s.since = now
	}
	s.last = now
	s.refusals++
	return s.refusals == 1
}

// endIfOver returns the shortfall and clears it if its last refusal is long enough ago.
func (s *shortfall) endIfOver(now time.Time) shortfall {
	if s.refusals == 0 || now.Sub(s.last) < shortfallQuiet {
		return shortfall{}
	}
	ended := *s
	*s = shortfall{}
	return ended
}
