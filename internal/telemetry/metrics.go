package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// maxOrganisations and maxClasses bound the label values. With "other" they give at most 33 x 17 = 561 pairs.
	maxOrganisations = 32
	maxClasses       = 16
	// maxCodes bounds the error codes; fault declares fewer than 40.
	maxCodes = 48
)

// Metrics holds the metrics of one instance.
//
// The number of series is bounded: the first 32 organisations and the first 16 classes that were declared since the start
// of the process have label values of their own, all others share the value "other". That makes at most 561 pairs with 4
// histograms each. Outcomes are counted by class and code and by organisation, not by all three, which gives at most
// 17 x 3 x 49 + 33 x 3 counters.
type Metrics struct {
	set           *metrics.Set
	organisations *names
	classes       *names
	codes         *names

	mu        *lockorder.RWMutex
	recorders map[pair]*Recorder
}

// pair is a pair of label values.
type pair struct{ organisation, class string }

// Recorder records the durations of one organisation and class. It is safe for concurrent use.
type Recorder struct {
	firstToken    *metrics.Histogram
	betweenTokens *metrics.Histogram
	wholeAnswer   *metrics.Histogram
	queueWait     *metrics.Histogram
}

// NewMetrics returns metrics without any series.
func NewMetrics() *Metrics {
	return &Metrics{
		set:           metrics.NewSet(),
		organisations: newNames(maxOrganisations),
		classes:       newNames(maxClasses),
		codes:         newNames(maxCodes),
		mu:            lockorder.NewRW(lockorder.RankTelemetry),
		recorders:     map[pair]*Recorder{},
	}
}

// Declare gives the organisations and classes of a configuration their own label values, as far as there is room.
func (m *Metrics) Declare(snapshot *declaration.Snapshot) {
	organisations := make([]string, 0, len(snapshot.Document.Organisations))
	for i := range snapshot.Document.Organisations {
		organisations = append(organisations, snapshot.Document.Organisations[i].Name)
	}
	classes := make([]string, 0, len(snapshot.Document.Classes))
	for i := range snapshot.Document.Classes {
		classes = append(classes, snapshot.Document.Classes[i].Name)
	}
	m.DeclareNames(organisations, classes)
}

// DeclareNames gives organisations and classes their own label values, as far as there is room.
func (m *Metrics) DeclareNames(organisations, classes []string) {
	m.organisations.declare(organisations)
	m.classes.declare(classes)
}

// For returns the recorder of the organisation and class. Callers keep it for the length of a request.
func (m *Metrics) For(organisation, class string) *Recorder {
	key := pair{organisation: m.organisations.label(organisation), class: m.classes.label(class)}
	m.mu.RLock()
	recorder := m.recorders[key]
	m.mu.RUnlock()
	if recorder != nil {
		return recorder
	}
	recorder = m.newRecorder(key)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorders[key] = recorder
	return recorder
}

// newRecorder returns the same histograms each time it is called for a pair, so two concurrent calls do no harm.
func (m *Metrics) newRecorder(key pair) *Recorder {
	histogram := func(name string) *metrics.Histogram {
		return m.set.GetOrCreateHistogram(fmt.Sprintf("%s{organisation=%q,class=%q}", name, key.organisation, key.class))
	}
	return &Recorder{
		firstToken:    histogram("cicadawall_first_token_seconds"),
		betweenTokens: histogram("cicadawall_between_tokens_seconds"),
		wholeAnswer:   histogram("cicadawall_whole_answer_seconds"),
		queueWait:     histogram("cicadawall_queue_wait_seconds"),
	}
}

// FirstToken records the time from the request's arrival to its first token.
func (r *Recorder) FirstToken(d time.Duration) { r.firstToken.Update(d.Seconds()) }

// BetweenTokens records the time between two tokens.
func (r *Recorder) BetweenTokens(d time.Duration) { r.betweenTokens.Update(d.Seconds()) }

// WholeAnswer records the time from the request's arrival to its last byte.
func (r *Recorder) WholeAnswer(d time.Duration) { r.wholeAnswer.Update(d.Seconds()) }

// QueueWait records the time that the request waited for a worker.
func (r *Recorder) QueueWait(d time.Duration) { r.queueWait.Update(d.Seconds()) }

// Finished counts a request that ended. The code is empty for an answer.
func (m *Metrics) Finished(organisation, class string, outcome api.Outcome, code fault.Code) {
	text := string(code)
	if text != "" {
		m.codes.declare([]string{text})
		text = m.codes.label(text)
	}
	byCode := fmt.Sprintf("cicadawall_requests_total{class=%q,outcome=%q,code=%q}", m.classes.label(class), outcome, text)
	m.set.GetOrCreateCounter(byCode).Inc()
	byOrganisation := fmt.Sprintf("cicadawall_organisation_requests_total{organisation=%q,outcome=%q}", m.organisations.label(organisation), outcome)
	m.set.GetOrCreateCounter(byOrganisation).Inc()
}

// Gauge registers a figure that is read when the metrics are written. The callback must not block. A second registration
// of the name is ignored.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Count adds to a counter. The name must come from a fixed set, for example "cicadawall_retries_total".
func (m *Metrics) Count(name string, by int) { m.set.GetOrCreateCounter(name).Add(by) }

// WritePrometheus writes all series in the Prometheus text format, with those of the process.
func (m *Metrics) WritePrometheus(out io.Writer) {
	m.set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}
