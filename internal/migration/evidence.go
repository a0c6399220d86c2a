package migration

import (
	"math"
	"time"
)

const (
	// minBad is the number of bad answers below which no version is given up; fewer happen by chance on any day.
	minBad = 3
	// doubt is the probability under the old version's rate below which the new version's bad answers are not chance. The
	// test is repeated after each answer, so it is far below the usual 5%.
	doubt = 2e-4
	// baseRate is added to the old version's rate, so that a rate of zero over few answers is not taken as certain.
	baseRate = 0.03
	// slowShift is the natural logarithm of the factor by which a slow version's answers take longer: two. The servers of a new
	// version read prompts that those of the old one hold, which costs less than that.
	slowShift = 0.69
	// slowScore is the standard score from which the shift is not chance, and slowAnswers the number of answers needed. Both
	// are high because the test is repeated and answers that wait for one server are not independent.
	slowScore   = 4.5
	slowAnswers = 12
	// doubtShift and doubtScore are the shift of the logarithm and the standard score from which a version is not completed
	// yet. A slow version under a small share runs on idle servers, which hides a factor of two and more: 145 answers by the
	// time of completion had a shift of 0.24 and a score of 3.3 on a deployment of 81 instances.
	doubtShift = 0.15
	doubtScore = 2.3
	// doubtPatience is how long after its deadline a doubtful version may be left uncompleted, with all sessions on it. A missed
	// deadline has a small price; a bad version must have no more requests 5 s after its 50th bad answer.
	doubtPatience = 3 * time.Second
	// leastSpread is the smallest variance of a logarithm that is assumed, so that equal times do not make a small shift certain.
	leastSpread = 0.05
	// oldAnswers is the number of answers of the old version without which a class is not compared.
	oldAnswers = 15
)

// finding is what the evidence says of a new version.
type finding int

const (
	findingNone finding = iota
	findingDoubt
	findingBad
)

// Count is what one version answered to one class of requests.
type Count struct {
	Answers int
	Bad     int
	// LogSum and LogSquares sum the natural logarithms of the times in milliseconds of the answers that were not bad, and
	// their squares. Times differ by factors, so that their logarithms are compared.
	LogSum     float64
	LogSquares float64
}

// good returns the number of answers whose time is known.
func (c Count) good() float64 { return float64(c.Answers - c.Bad) }

// MeanMillis returns the geometric mean of the times in milliseconds; zero if there is none.
func (c Count) MeanMillis() float64 {
	if c.good() == 0 {
		return 0
	}
	return math.Exp(c.LogSum / c.good())
}

// took adds the time of a good answer.
func (c *Count) took(t time.Duration) {
	log := math.Log(max(1, float64(t)/float64(time.Millisecond)))
	c.LogSum += log
	c.LogSquares += log * log
}

func (c Count) plus(other Count) Count {
	return Count{
		Answers: c.Answers + other.Answers, Bad: c.Bad + other.Bad, LogSum: c.LogSum + other.LogSum,
		LogSquares: c.LogSquares + other.LogSquares,
	}
}

// Worse reports whether the new version's bad answers cannot be chance under the old version's rate.
func Worse(fresh, old Count) bool { return worse(fresh.Bad, fresh.Answers, old.Bad, old.Answers) }

// delay sums how much longer the answers of a new version take, over classes.
type delay struct{ answers, shift, variance float64 }

// add compares one class.
func (d *delay) add(fresh, old Count) {
	if old.good() < oldAnswers || fresh.good() < 1 {
		return
	}
	mean := old.LogSum / old.good()
	spread := max(leastSpread, old.LogSquares/old.good()-mean*mean)
	d.answers += fresh.good()
	d.shift += fresh.LogSum - fresh.good()*mean
	d.variance += fresh.good() * spread
}

// slow reports whether the answers take longer by the factor, and not by chance.
func (d *delay) slow() bool { return d.exceeds(slowShift, slowScore) }

// doubtful reports whether the answers take longer by a factor that is not yet certain.
func (d *delay) doubtful() bool { return d.exceeds(doubtShift, doubtScore) }

func (d *delay) exceeds(shift, score float64) bool {
	return d.answers >= slowAnswers && d.shift/d.answers > shift && d.shift/math.Sqrt(d.variance) > score
}

func worse(bad, answers, oldBad, oldAnswers int) bool {
	if bad < minBad {
		return false
	}
	rate := baseRate
	if oldAnswers > 0 {
		rate += float64(oldBad) / float64(oldAnswers)
	}
	return tail(bad, answers, min(rate, 0.9)) < doubt
}

// tail returns the probability of at least k of n events of probability p each.
func tail(k, n int, p float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += math.Exp(logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return sum
}

func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
