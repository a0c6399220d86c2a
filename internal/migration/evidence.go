package migration

import (
	"math"
	"strings"
	"time"
)

const (
	// minBadAnswers is the number of bad answers below which a version is never rolled back, since a few bad answers can occur
	// by chance.
	minBadAnswers = 3
	// significanceLevel is the probability, under the old version's rate of bad answers, below which the new version's bad
	// answers do not count as chance. It is far below the usual 5% because the test is repeated after each answer.
	significanceLevel = 2e-4
	// baseBadRate is added to the old version's rate of bad answers, so that a rate of zero over few answers is not taken
	// as certain.
	baseBadRate = 0.03
	// slowLogShift is the natural logarithm of 2, the factor by which the answers of a slow version take longer. Backend
	// servers of a new version must prefill prompts that those of the old one have in their caches, but this costs less than a
	// factor of two.
	slowLogShift = 0.69
	// slowStandardScore is the standard score above which the shift does not count as chance, and minNewAnswers is the number
	// of answers needed for a comparison. Both are high because the test is repeated and because answers that wait for the same
	// backend server are not independent.
	slowStandardScore = 4.5
	minNewAnswers     = 12
	// lightLoadQuantile is the quantile of the old versions' times with which a new version is compared while few sessions use it. Its
	// servers are nearly idle then, as the servers of the fast answers of the old versions were; against the mean, which includes
	// waiting, a version that is several times slower looks as fast as the old one.
	// lightLoadLogShift is the shift against that quantile above which a version is slow, a factor of 1.8. On four deployments with 7 to 81
	// instances good versions had at most 0.44 by the time of completion, and slow ones at least 0.79.
	lightLoadQuantile = 0.25
	lightLoadLogShift = 0.6
	// uncertainLogShift and uncertainStandardScore are the shift of the logarithm and the standard score above which the
	// completion of a migration is delayed. With a small fraction of the sessions, a slow version runs on idle backend servers,
	// which hides a factor of two and more: on a deployment of 81 instances, 145 answers by the time of completion had a shift
	// of 0.24 and a score of 3.3.
	uncertainLogShift      = 0.15
	uncertainStandardScore = 2.3
	// uncertaintyGracePeriod is how long after its deadline a migration may stay incomplete because the latency is uncertain;
	// all sessions use the new version during this time. A missed deadline costs little, whereas a bad version must not receive
	// requests later than 5 s after its 50th bad answer.
	uncertaintyGracePeriod = 3 * time.Second
	// doubtGracePeriod is the same if the bad answers are doubtful. All requests use the new version then, so that a service with a few requests a
	// second has an answer to the doubt by the end; after 3 s a bad version was completed 0.6 s before it was found.
	doubtGracePeriod = 10 * time.Second
	// minLogVariance is the smallest assumed variance of a logarithm, so that equal times do not make a small shift
	// significant.
	minLogVariance = 0.05
	// minCompletionAnswers is the number of answers of the new version below which a migration does not complete. Of so many answers of a
	// version that fails three in ten, at most two are bad in one of a hundred cases; three leave a doubt (doubtLevel).
	minCompletionAnswers = 25
	// doubtLevel is the probability, under the old version's rate of bad answers, below which bad answers delay the completion.
	doubtLevel = 0.05
	// minClassAnswers is the number of answers of the new version in a class below which the class delays the completion, if the class
	// has at least mainClassFraction of the old versions' answers. A version may fail in one class only.
	minClassAnswers   = 8
	mainClassFraction = 0.2
	// excessBadRate is the rate of additional bad answers that all classes together are tested for. A version that is bad under load fails
	// about one request in ten at the load of a server in normal use.
	excessBadRate = 0.1
	// minOldBadRate is the smallest assumed rate of bad answers of the old versions. Some hundred answers without a bad one do not show
	// that one bad answer of the new version is more than chance.
	minOldBadRate = 0.01
	// Bounds for the logarithm of the likelihood ratio of that test (excessBadAnswers). A version is bad from excessBad on, about 5,000 to 1.
	// From excessInsufficient on (20 to 1) it does not complete before there is more evidence, from excessUncertain on only after doubtGracePeriod.
	excessBad          = 8.5
	excessInsufficient = 3.0
	excessUncertain    = -1.75
	// excessUncertainAfterStart takes the place of excessUncertain in a process that started after the order: the answers of the load test are
	// lost, and the few since then were given under less load.
	excessUncertainAfterStart = -4.0
	// minOldAnswers is the number of answers of the old versions below which a class is not compared.
	minOldAnswers = 15
)

// finding is the result of the comparison of a new version with the old ones.
type finding int

const (
	findingNone finding = iota
	// findingUncertain and findingDoubtful delay the completion for a limited time.
	findingUncertain
	findingDoubtful
	// findingInsufficient delays the completion until there is more evidence: after it the old version's servers stop, so that a bad
	// version can no longer be rolled back.
	findingInsufficient
	findingBad
)

// allowsCompletion reports whether a migration with the finding may complete at a time after its deadline, which is negative before it.
func (f finding) allowsCompletion(afterDeadline time.Duration) bool {
	switch f {
	case findingNone:
		return true
	case findingUncertain:
		return afterDeadline > uncertaintyGracePeriod
	case findingDoubtful:
		return afterDeadline > doubtGracePeriod
	default:
		return false
	}
}

// Count aggregates the answers of one version to requests of one class.
type Count struct {
	Answers int
	Bad     int
	// LogSum and LogSquares are the sums of the natural logarithms of the times to first token in milliseconds, and of their
	// squares, over the answers that were not bad. The logarithms are compared because the times differ by factors.
	LogSum     float64
	LogSquares float64
	// StartTimes is the histogram of these times. It is kept only for old versions and classes other than those of the pace.
	StartTimes Histogram
}

// goodAnswers returns the number of answers that were not bad, which are those with a known time.
func (c Count) goodAnswers() float64 { return float64(c.Answers - c.Bad) }

// MeanMillis returns the geometric mean of the times in milliseconds, or zero without good answers.
func (c Count) MeanMillis() float64 {
	if c.goodAnswers() == 0 {
		return 0
	}
	return math.Exp(c.LogSum / c.goodAnswers())
}

// addLatency adds the time to first token of a good answer.
func (c *Count) addLatency(t time.Duration) {
	log := logMillis(t)
	c.LogSum += log
	c.LogSquares += log * log
}

// logMillis returns the natural logarithm of a time in milliseconds, at least of one.
func logMillis(t time.Duration) float64 {
	return math.Log(max(1, float64(t)/float64(time.Millisecond)))
}

func (c Count) combinedWith(other Count) Count {
	return Count{
		Answers: c.Answers + other.Answers, Bad: c.Bad + other.Bad, LogSum: c.LogSum + other.LogSum,
		LogSquares: c.LogSquares + other.LogSquares, StartTimes: c.StartTimes.combinedWith(other.StartTimes),
	}
}

// HasMoreBadAnswers reports whether the new version has more bad answers than the old version's rate explains by chance.
func HasMoreBadAnswers(newCount, oldCount Count) bool {
	return badRateIncreased(newCount.Bad, newCount.Answers, oldCount.Bad, oldCount.Answers)
}

// mayHaveMoreBadAnswers reports whether the new version has so many bad answers that it is doubtful that they are chance.
func mayHaveMoreBadAnswers(newCount, oldCount Count) bool {
	return newCount.Bad >= 2 && badRateBelow(doubtLevel, newCount.Bad, newCount.Answers, oldCount.Bad, oldCount.Answers)
}

// tooFewAnswers reports whether the answers of the new version are too few to complete a migration.
func tooFewAnswers(newByClass map[string]Count) bool {
	return requestCount(newByClass) < minCompletionAnswers
}

// classUncertain reports whether a class has a doubtful number of bad answers, or a main class too few answers.
func classUncertain(newByClass, oldByClass map[string]Count) bool {
	total := float64(requestCount(oldByClass))
	for class, count := range oldByClass {
		isMain := isRequestClass(class) && float64(count.Answers) >= max(minOldAnswers, mainClassFraction*total)
		if isMain && newByClass[class].Answers < minClassAnswers || mayHaveMoreBadAnswers(newByClass[class], count) {
			return true
		}
	}
	return false
}

// isRequestClass reports whether each request counts once in the class. The classes on the pace count streams again.
func isRequestClass(class string) bool { return !strings.HasSuffix(class, PaceClassSuffix) }

// requestCount returns the number of answered requests.
func requestCount(byClass map[string]Count) int {
	requests := 0
	for class, count := range byClass {
		if isRequestClass(class) {
			requests += count.Answers
		}
	}
	return requests
}

// slowdown accumulates, over classes, how much longer the answers of a new version take than those of the old one. It sums
// the differences of the logarithms and their variances.
type slowdown struct{ answers, logShift, logVariance float64 }

// addClass adds the comparison of one class with the mean of the old versions. It ignores a class with too few answers.
func (d *slowdown) addClass(newCount, oldCount Count) {
	if oldCount.goodAnswers() >= minOldAnswers {
		d.add(newCount, oldCount, oldCount.LogSum/oldCount.goodAnswers())
	}
}

// addLightlyLoadedClass adds the comparison of one class with the fast answers of the old versions.
func (d *slowdown) addLightlyLoadedClass(newCount, oldCount Count) {
	if oldCount.goodAnswers() >= minOldAnswers {
		d.add(newCount, oldCount, oldCount.StartTimes.quantile(lightLoadQuantile))
	}
}

// add adds the comparison of one class with a reference, given as the natural logarithm of milliseconds.
func (d *slowdown) add(newCount, oldCount Count, reference float64) {
	if newCount.goodAnswers() < 1 {
		return
	}
	oldMean := oldCount.LogSum / oldCount.goodAnswers()
	oldVariance := max(minLogVariance, oldCount.LogSquares/oldCount.goodAnswers()-oldMean*oldMean)
	d.answers += newCount.goodAnswers()
	d.logShift += newCount.LogSum - newCount.goodAnswers()*reference
	d.logVariance += newCount.goodAnswers() * oldVariance
}

// significant reports whether the answers take longer by a factor of two or more, and not by chance.
func (d *slowdown) significant() bool { return d.exceeds(slowLogShift, slowStandardScore) }

// significantUnderLightLoad reports whether answers on lightly loaded servers take longer than they should, and not by chance.
func (d *slowdown) significantUnderLightLoad() bool {
	return d.exceeds(lightLoadLogShift, slowStandardScore)
}

// uncertain reports whether the answers may take longer, but the factor is too small or not yet significant.
func (d *slowdown) uncertain() bool { return d.exceeds(uncertainLogShift, uncertainStandardScore) }

func (d *slowdown) exceeds(shift, score float64) bool {
	return d.answers >= minNewAnswers && d.logShift/d.answers > shift && d.logShift/math.Sqrt(d.logVariance) > score
}

// badRateIncreased reports whether the new version has more bad answers than chance explains.
func badRateIncreased(bad, answers, oldBad, oldAnswers int) bool {
	return bad >= minBadAnswers && badRateBelow(significanceLevel, bad, answers, oldBad, oldAnswers)
}

// badRateBelow reports whether the probability of as many bad answers, under the old rate plus baseBadRate, is below the level.
func badRateBelow(level float64, bad, answers, oldBad, oldAnswers int) bool {
	rate := baseBadRate
	if oldAnswers > 0 {
		rate += float64(oldBad) / float64(oldAnswers)
	}
	return binomialTail(bad, answers, min(rate, 0.9)) < level
}

// binomialTail returns the probability of at least k of n independent events with probability p each.
func binomialTail(k, n int, p float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += math.Exp(logBinomial(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return sum
}

// logBinomial returns the natural logarithm of the binomial coefficient.
func logBinomial(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

// excessBadAnswers returns the logarithm of how much likelier the answers of the new version are if excessBadRate of the answers that the old
// versions would give well are bad, in each class, than if the new version is like the old ones. It adds up the classes, so that the chance in
// a class with many bad answers does not hide a difference in another one.
func excessBadAnswers(newByClass, oldByClass map[string]Count) float64 {
	sum := 0.0
	for class, count := range newByClass {
		if !isRequestClass(class) {
			continue
		}
		old := oldByClass[class]
		// Half an answer is added to each outcome, so that a class without answers of the old versions says little.
		rate := max(minOldBadRate, (float64(old.Bad)+0.5)/float64(old.Answers+1))
		sum += float64(count.Bad)*math.Log(1+excessBadRate*(1-rate)/rate) + count.goodAnswers()*math.Log(1-excessBadRate)
	}
	return sum
}
