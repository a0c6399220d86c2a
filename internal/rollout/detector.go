// Package rollout decides which fraction of requests a new version receives and when a version must be quarantined. Its
// tests are sequential: a decision may be taken after any rating without a loss of the error bounds. Its functions perform
// no I/O and read no clock.
package rollout

const (
	// QuarantineThreshold is the detector value that leads to quarantine. It is also a lower bound of the average run length,
	// the mean number of ratings until a version that meets its quality floors is quarantined by mistake.
	QuarantineThreshold = 100_000.0
	// suspicionThreshold is the value of a large bet from which on every answer of the version should be rated. A version 5
	// percentage points above its quality floor with pass-or-fail ratings was suspected after 363 of 10,000 ratings.
	suspicionThreshold = 20.0
	// maxQualityFloor limits quality floors so that the bets, which grow with 1/(1-floor), stay finite.
	maxQualityFloor = 0.99
)

// betFractions are the bets as fractions of the largest bet that cannot lose everything. Small bets detect small changes;
// large bets detect large changes soon. The detector averages over them, since the best bet is not known beforehand.
var betFractions = [...]float64{0.1, 0.25, 0.5, 0.9}

// firstLargeBetIndex is the index in betFractions from which on a bet can make a version suspected.
const firstLargeBetIndex = 2

// Rating is one rated answer that reached a caller.
type Rating struct {
	// Score is the rating between 0 and 1.
	Score float64
	// QualityFloor is the lowest mean rating that was assumed when the answer's chain was chosen. It must be fixed before the
	// rating is known.
	QualityFloor float64
}

// Detector is an e-detector of a mean rating below the quality floor. For each bet it holds the sum, over all possible times
// of the change, of the betting e-processes that start at that time. While the mean is at or above the floor, the value
// minus the number of ratings is a supermartingale, so the mean number of ratings until the value reaches
// QuarantineThreshold is at least QuarantineThreshold.
type Detector struct {
	betValues [len(betFractions)]float64
	ratings   int
}

// Observe adds one rating.
func (d *Detector) Observe(r Rating) {
	qualityFloor := min(maxQualityFloor, max(0, r.QualityFloor))
	score := min(1, max(0, r.Score))
	d.ratings++
	for i, fraction := range betFractions {
		bet := fraction / (1 - qualityFloor)
		d.betValues[i] = (d.betValues[i] + 1) * (1 + bet*(qualityFloor-score))
	}
}

// Merge adds a detector that observed different ratings. The sum of two detectors keeps the bound on the average run length.
func (d *Detector) Merge(other Detector) {
	d.ratings += other.ratings
	for i := range d.betValues {
		d.betValues[i] += other.betValues[i]
	}
}

// Value returns the evidence that the mean rating is below the quality floor, to be compared with QuarantineThreshold.
func (d *Detector) Value() float64 {
	sum := 0.0
	for _, s := range d.betValues {
		sum += s
	}
	return sum / float64(len(d.betValues))
}

// Suspicious reports whether a large bet gives enough evidence to rate every answer of the version.
func (d *Detector) Suspicious() bool {
	for _, s := range d.betValues[firstLargeBetIndex:] {
		if s >= suspicionThreshold {
			return true
		}
	}
	return false
}

// Ratings returns the number of ratings observed.
func (d *Detector) Ratings() int { return d.ratings }
