package crashguard

import (
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// maxCrashes bounds the crashes that are remembered and exchanged; one takes about 150 bytes in a message.
	maxCrashes = 64
	// maxParts and maxPartBytes bound the parts of one prompt that count as evidence. Callers choose them.
	maxParts     = 16
	maxPartBytes = 64
	// maxAnsweredParts bounds the parts whose last answer is remembered, in each of two generations.
	maxAnsweredParts = 2048
	// trialTimeout is how long a trial may take before another request may try: longer than a prompt waits in the queue of a server.
	trialTimeout = 15 * time.Second
)

// Options of a Table. All fields are required.
type Options struct {
	// MayTry reports whether this instance is the one that tries a held request after the hold time. The duty names the hold.
	MayTry func(duty string) bool
	Log    *slog.Logger
}

// crashKey identifies a crash.
type crashKey struct{ service, server, request string }

// partKey identifies a part of the prompts of a service.
type partKey struct{ service, part string }

// Table holds the crashes, the holds that follow from them, and the attempts that wait for their first event. It is safe for concurrent
// use.
type Table struct {
	Options

	mu      *lockorder.Mutex
	crashes map[crashKey]Crash
	// answered and answeredBefore hold the times of the last answers by part; when answered is full, it replaces answeredBefore.
	answered       map[partKey]time.Time
	answeredBefore map[partKey]time.Time
	holds          []Hold
	// trials holds the times at which the last trials of holds began.
	trials  map[string]time.Time
	waiting map[*Attempt]struct{}
}

// NewTable returns a table without crashes.
func NewTable(options Options) *Table {
	return &Table{
		Options: options, mu: lockorder.New(lockorder.RankCrashes), crashes: map[crashKey]Crash{}, answered: map[partKey]time.Time{},
		trials: map[string]time.Time{}, waiting: map[*Attempt]struct{}{},
	}
}

// SharedParts returns the parts of a prompt that count as evidence: all but the last one, which belongs to the request alone.
func SharedParts(prompt []backend.PromptPart) []string {
	var parts []string
	for _, part := range prompt[:max(0, len(prompt)-1)] {
		if len(part.ID) <= maxPartBytes && len(parts) < maxParts {
			parts = append(parts, part.ID)
		}
	}
	return parts
}

// name identifies a hold across instances.
func (h Hold) name() string { return h.Service + "/" + h.Parts[0] }

// Verdict says whether a request may be sent to a server.
type Verdict struct {
	// Held is set if it must not; RetryAfter is then the time until it may be tried again.
	Held       bool
	RetryAfter time.Duration
	// Trial is set if the request is sent to try whether the held parts are still harmful.
	Trial bool
}

// Check decides whether a request may be sent to a server. With trial, an earlier check of the same request made it the trial.
func (t *Table) Check(service string, prompt []backend.PromptPart, trial bool, now time.Time) Verdict {
	return t.check(service, prompt, trial, now, t.beginTrial)
}

// Preview returns what Check would return, without beginning a trial.
func (t *Table) Preview(service string, prompt []backend.PromptPart, trial bool, now time.Time) Verdict {
	return t.check(service, prompt, trial, now, func(hold Hold, now time.Time) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.mayBeginTrial(hold, now)
	})
}

// check decides on a request. The function mayTry decides whether the request may be the trial of a hold.
func (t *Table) check(
	service string, prompt []backend.PromptPart, trial bool, now time.Time, mayTry func(hold Hold, now time.Time) bool,
) Verdict {
	hold, ok := t.holdOf(service, prompt)
	if !ok {
		return Verdict{}
	}
	if wait := hold.Until.Sub(now); wait > 0 {
		return Verdict{Held: true, RetryAfter: wait}
	}
	if trial || t.MayTry(hold.name()) && mayTry(hold, now) {
		return Verdict{Trial: true}
	}
	return Verdict{Held: true, RetryAfter: trialTimeout}
}

// holdOf returns the hold that covers a request.
func (t *Table) holdOf(service string, prompt []backend.PromptPart) (Hold, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.holds) == 0 {
		return Hold{}, false
	}
	parts := SharedParts(prompt)
	for _, hold := range t.holds {
		if hold.covers(service, parts) {
			return hold, true
		}
	}
	return Hold{}, false
}

// mayBeginTrial reports whether a trial of the hold may begin now. The caller holds the lock.
func (t *Table) mayBeginTrial(hold Hold, now time.Time) bool {
	last, ok := t.trials[hold.name()]
	return !ok || now.Sub(last) >= trialTimeout
}

// beginTrial begins a trial of the hold and reports whether it may begin now.
func (t *Table) beginTrial(hold Hold, now time.Time) bool {
	t.mu.Lock()
	may := t.mayBeginTrial(hold, now)
	if may {
		t.trials[hold.name()] = now
	}
	t.mu.Unlock()
	if may {
		t.Log.Info("held prompt is tried at a backend server", "service", hold.Service, "parts", hold.Parts, "crashes", hold.Crashes)
	}
	return may
}

// Holds returns the holds in force.
func (t *Table) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.holds)
}

// recordAnswer records that a server answered a request with the parts, in an answer that it began at a time.
func (t *Table) recordAnswer(service string, parts []string, begun, now time.Time) {
	t.mu.Lock()
	if len(t.answered) >= maxAnsweredParts {
		t.answered, t.answeredBefore = map[partKey]time.Time{}, t.answered
	}
	changed := false
	for _, part := range parts {
		key := partKey{service, part}
		if begun.After(t.answered[key]) {
			t.answered[key] = begun
		}
		changed = t.clearPart(service, part, begun) || changed
	}
	t.finishChange(changed, now)
}

// clearPart removes a part from the crashes before the beginning of its answer and reports whether there were any. The caller holds the lock.
func (t *Table) clearPart(service, part string, answeredAt time.Time) bool {
	changed := false
	for key, crash := range t.crashes {
		if crash.Service == service && crash.At.Before(answeredAt) && slices.Contains(crash.Parts, part) {
			isPart := func(p string) bool { return p == part }
			crash.Parts = slices.DeleteFunc(slices.Clone(crash.Parts), isPart)
			crash.NeverAnswered = slices.DeleteFunc(slices.Clone(crash.NeverAnswered), isPart)
			t.crashes[key] = crash
			changed = true
		}
	}
	return changed
}

// neverAnswered returns the parts that no server has answered as far as this instance knows. It returns none if it knows of no answer of the
// service: then it cannot tell harmful parts from sound ones.
func (t *Table) neverAnswered(service string, parts []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ofService := func(key partKey) bool { return key.service == service }
	if !containsKey(t.answered, ofService) && !containsKey(t.answeredBefore, ofService) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return t.everAnswered(service, part) })
}

// containsKey reports whether some key of the map satisfies the condition.
func containsKey(times map[partKey]time.Time, satisfies func(partKey) bool) bool {
	for key := range times {
		if satisfies(key) {
			return true
		}
	}
	return false
}

// everAnswered reports whether an answer to a request with the part is remembered. The caller holds the lock.
func (t *Table) everAnswered(service, part string) bool {
	return t.answeredSince(service, part, time.Time{})
}

// answeredSince reports whether a part was answered after a time. The caller holds the lock.
func (t *Table) answeredSince(service, part string, since time.Time) bool {
	key := partKey{service, part}
	return t.answered[key].After(since) || t.answeredBefore[key].After(since)
}

// Merge adds crashes that other instances reported.
func (t *Table) Merge(crashes []Crash, now time.Time) {
	if len(crashes) == 0 {
		return
	}
	t.mu.Lock()
	changed := false
	for _, crash := range crashes[:min(len(crashes), maxCrashes)] {
		changed = t.add(crash, now) || changed
	}
	t.finishChange(changed, now)
}

// add merges one crash and reports whether anything changed. Parts that one instance has seen answered are evidence for none. The caller
// holds the lock.
func (t *Table) add(crash Crash, now time.Time) bool {
	if now.Sub(crash.At) > crashRetention {
		return false
	}
	key := crashKey{crash.Service, crash.Server, crash.Request}
	known, ok := t.crashes[key]
	reported := crash.NeverAnswered
	crash.Parts = slices.Clone(crash.Parts[:min(len(crash.Parts), maxParts)])
	slices.Sort(crash.Parts)
	crash.Parts = slices.DeleteFunc(slices.Compact(crash.Parts), func(part string) bool {
		return ok && !slices.Contains(known.Parts, part) || len(part) > maxPartBytes || t.answeredSince(crash.Service, part, crash.At)
	})
	crash.NeverAnswered = slices.DeleteFunc(slices.Clone(crash.Parts), func(part string) bool {
		return !slices.Contains(reported, part) || ok && !slices.Contains(known.NeverAnswered, part) || t.everAnswered(crash.Service, part)
	})
	if ok && known.At.Before(crash.At) {
		crash.At = known.At
	}
	crash.BeforeAnswer = crash.BeforeAnswer && (!ok || known.BeforeAnswer)
	t.crashes[key] = crash
	return !ok || known.BeforeAnswer != crash.BeforeAnswer || len(known.Parts) != len(crash.Parts) ||
		len(known.NeverAnswered) != len(crash.NeverAnswered) || !known.At.Equal(crash.At)
}

// finishChange derives the holds again if the crashes changed, releases the lock, cancels the waiting attempts that are held now, and logs
// what changed.
func (t *Table) finishChange(changed bool, now time.Time) {
	if !changed {
		t.mu.Unlock()
		return
	}
	before := t.holds
	t.expire(now)
	t.holds = t.deriveHolds()
	held := t.heldAttempts(now)
	after := t.holds
	t.mu.Unlock()
	for _, attempt := range held {
		attempt.cancel()
	}
	t.logChanges(before, after)
}

// expire removes ended trials and old crashes, and some others if there are too many. The caller holds the lock.
func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.trials, func(_ string, began time.Time) bool { return now.Sub(began) >= trialTimeout })
	for key, crash := range t.crashes {
		if now.Sub(crash.At) > crashRetention {
			delete(t.crashes, key)
		}
	}
	for len(t.crashes) > maxCrashes {
		delete(t.crashes, leastUseful(t.crashes))
	}
}

// deriveHolds returns the holds that follow from the crashes. The caller holds the lock.
func (t *Table) deriveHolds() []Hold {
	byService := map[string][]Crash{}
	for _, crash := range t.crashes {
		byService[crash.Service] = append(byService[crash.Service], crash)
	}
	var derived []Hold
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		derived = append(derived, holds(service, byService[service])...)
	}
	return derived
}

// logChanges logs the holds that begin, change and end.
func (t *Table) logChanges(before, after []Hold) {
	for _, hold := range after {
		if i := slices.IndexFunc(before, hold.sameParts); i < 0 || before[i].Crashes < hold.Crashes {
			t.Log.Warn("requests with these prompt parts are held, because servers crash when they answer them", "service", hold.Service,
				"parts", hold.Parts, "crashes", hold.Crashes, "hold_ms", hold.Until.Sub(hold.LastCrash).Milliseconds())
		}
	}
	for _, hold := range before {
		if !slices.ContainsFunc(after, hold.sameParts) {
			t.Log.Info("requests with these prompt parts are no longer held", "service", hold.Service, "parts", hold.Parts)
		}
	}
}

func (h Hold) sameParts(other Hold) bool {
	return h.Service == other.Service && slices.Equal(h.Parts, other.Parts)
}

// Digest returns a number that differs between tables with different evidence; zero without any.
func (t *Table) Digest() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest := int64(0)
	for _, crash := range t.crashes {
		hash := fnv.New64a()
		texts := append([]string{crash.Service, crash.Server, crash.Request, strconv.FormatBool(crash.BeforeAnswer)}, crash.Parts...)
		// The empty text separates the two lists.
		for _, text := range append(append(texts, ""), crash.NeverAnswered...) {
			_, _ = hash.Write([]byte(text))
			_, _ = hash.Write([]byte{0})
		}
		digest ^= int64(hash.Sum64())
	}
	return digest
}

// Crashes returns the crashes since a time, or all with the zero time.
func (t *Table) Crashes(since time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []Crash
	for _, crash := range t.crashes {
		if !crash.At.Before(since) {
			recent = append(recent, crash)
		}
	}
	return recent
}
