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
	// slowFactor is how many times the old version's mean time makes an answer slow.
	slowFactor = 3
	// slowFloor keeps answers of a few milliseconds from counting as slow.
	slowFloor = 200 * time.Millisecond
	// meanWeight is the weight of a new answer in the moving mean of the answer time.
	meanWeight = 0.05
)

// Count is what one version answered to one class of requests.
type Count struct {
	Answers int
	Bad     int
	Slow    int
}

func (c Count) plus(other Count) Count {
	return Count{Answers: c.Answers + other.Answers, Bad: c.Bad + other.Bad, Slow: c.Slow + other.Slow}
}

// Worse reports whether the new version's counts cannot be chance under the old version's rates.
func Worse(fresh, old Count) bool {
	return worse(fresh.Bad, fresh.Answers, old.Bad, old.Answers) || worse(fresh.Slow, fresh.Answers, old.Slow, old.Answers)
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
