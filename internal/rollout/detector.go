// Package rollout decides what share of requests a new version receives and when a version has turned bad. It tests
// ratings one after the other, so a decision can be taken after any of them. It is pure.
package rollout

const (
	// RunLength is the smallest mean number of ratings until a false quarantine of a version that meets its floors.
	RunLength = 100_000.0
	// suspicion is the value of a large bet from which every answer of the version should be rated. A version 5 points above
	// its floor with pass-or-fail ratings was suspected after 363 of 10,000 ratings.
	suspicion = 20.0
	// maxFloor keeps the bets finite.
	maxFloor = 0.99
)

// betShares are the bets as shares of the largest bet that cannot lose everything. Small bets find small changes, large
// bets find large changes soon. The detector averages over them, since the best bet is not known beforehand.
var betShares = [...]float64{0.1, 0.25, 0.5, 0.9}

// firstLargeBet is the index of the first bet that counts for suspicion.
const firstLargeBet = 2

// Rating is one rated answer that reached a caller.
type Rating struct {
	// Score is the rating between 0 and 1.
	Score float64
	// Floor is the mean rating that the choice of the answer's chain counted on; it was fixed before the rating was known.
	Floor float64
}

// Detector is an e-detector for a mean rating below the floor: for each bet the sum, over all possible times of change, of
// the betting e-process that starts there. While the mean is at or above the floor, the value minus the number of ratings is a
// supermartingale, so the mean number of ratings until the value reaches RunLength is at least RunLength.
type Detector struct {
	sums    [len(betShares)]float64
	ratings int
}

// Observe adds one rating.
func (d *Detector) Observe(r Rating) {
	floor := min(maxFloor, max(0, r.Floor))
	score := min(1, max(0, r.Score))
	d.ratings++
	for i, share := range betShares {
		bet := share / (1 - floor)
		d.sums[i] = (d.sums[i] + 1) * (1 + bet*(floor-score))
	}
}

// Merge adds a detector that saw other ratings. The sum of two detectors keeps the bound on the mean run length.
func (d *Detector) Merge(other Detector) {
	d.ratings += other.ratings
	for i := range d.sums {
		d.sums[i] += other.sums[i]
	}
}

// Value returns the evidence for a change; compare it with RunLength.
func (d *Detector) Value() float64 {
	sum := 0.0
	for _, s := range d.sums {
		sum += s
	}
	return sum / float64(len(d.sums))
}

// Suspicious reports whether more answers should be rated.
func (d *Detector) Suspicious() bool {
	for _, s := range d.sums[firstLargeBet:] {
		if s >= suspicion {
			return true
		}
	}
	return false
}

// Ratings returns the number of ratings observed.
func (d *Detector) Ratings() int { return d.ratings }
