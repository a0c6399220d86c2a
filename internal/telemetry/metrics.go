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
	// maxOrganisations and maxClasses bound the label values. Together with "other" there are at most 33 x 17 = 561 pairs.
	maxOrganisations = 32
	maxClasses       = 16
	// maxCodes bounds the label values for error codes. Package fault declares fewer than 40.
	maxCodes = 48
)

// Metrics holds the metrics of one instance.
//
// The number of series is bounded: the first 32 organisations and the first 16 classes that are declared after the start of
// the process have their own label values, all others share the value "other". There are at most 561 pairs with 4 histograms
// each. Outcomes are counted by class and code and, separately, by organisation, which gives at most 17 x 3 x 49 + 33 x 3
// counters.
type Metrics struct {
	set           *metrics.Set
	organisations *labelSet
	classes       *labelSet
	codes         *labelSet

	mu        *lockorder.RWMutex
	recorders map[labelPair]*Recorder
}

// labelPair holds the label values of one organisation and class.
type labelPair struct{ organisation, class string }

// Recorder records the latencies of one organisation and class. It is safe for concurrent use.
type Recorder struct {
	firstToken   *metrics.Histogram
	interToken   *metrics.Histogram
	responseTime *metrics.Histogram
	queueWait    *metrics.Histogram
}

// NewMetrics returns metrics without any series.
func NewMetrics() *Metrics {
	return &Metrics{
		set:           metrics.NewSet(),
		organisations: newLabelSet(maxOrganisations),
		classes:       newLabelSet(maxClasses),
		codes:         newLabelSet(maxCodes),
		mu:            lockorder.NewRW(lockorder.RankTelemetry),
		recorders:     map[labelPair]*Recorder{},
	}
}

// Declare gives the organisations and classes of a configuration their own label values until the bounds are reached.
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

// DeclareNames gives organisations and classes their own label values until the bounds are reached.
func (m *Metrics) DeclareNames(organisations, classes []string) {
	m.organisations.add(organisations)
	m.classes.add(classes)
}

// RecorderFor returns the recorder of the organisation and class. Callers keep it for the duration of a request.
func (m *Metrics) RecorderFor(organisation, class string) *Recorder {
	key := labelPair{organisation: m.organisations.label(organisation), class: m.classes.label(class)}
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

// newRecorder returns the same histograms for the same pair, so concurrent calls for a pair are harmless.
func (m *Metrics) newRecorder(key labelPair) *Recorder {
	histogram := func(name string) *metrics.Histogram {
		return m.set.GetOrCreateHistogram(fmt.Sprintf("%s{organisation=%q,class=%q}", name, key.organisation, key.class))
	}
	return &Recorder{
		firstToken:   histogram("cicadawall_first_token_seconds"),
		interToken:   histogram("cicadawall_between_tokens_seconds"),
		responseTime: histogram("cicadawall_whole_answer_seconds"),
		queueWait:    histogram("cicadawall_queue_wait_seconds"),
	}
}

// FirstToken records the time from the request's arrival to its first token.
func (r *Recorder) FirstToken(d time.Duration) { r.firstToken.Update(d.Seconds()) }

// InterToken records an inter-token latency.
func (r *Recorder) InterToken(d time.Duration) { r.interToken.Update(d.Seconds()) }

// ResponseTime records the time from the request's arrival to its last byte.
func (r *Recorder) ResponseTime(d time.Duration) { r.responseTime.Update(d.Seconds()) }

// QueueWait records the time for which the request waited in the queue for a worker.
func (r *Recorder) QueueWait(d time.Duration) { r.queueWait.Update(d.Seconds()) }

// CountRequest counts a finished request. The code is empty if the request was answered.
func (m *Metrics) CountRequest(organisation, class string, outcome api.Outcome, code fault.Code) {
	text := string(code)
	if text != "" {
		m.codes.add([]string{text})
		text = m.codes.label(text)
	}
	byCode := fmt.Sprintf("cicadawall_requests_total{class=%q,outcome=%q,code=%q}", m.classes.label(class), outcome, text)
	m.set.GetOrCreateCounter(byCode).Inc()
	byOrganisation := fmt.Sprintf("cicadawall_organisation_requests_total{organisation=%q,outcome=%q}", m.organisations.label(organisation), outcome)
	m.set.GetOrCreateCounter(byOrganisation).Inc()
}

// RegisterGauge registers a gauge whose value is read when the metrics are written. The callback must not block. A second
// registration of the name is ignored.
func (m *Metrics) RegisterGauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// AddToCounter adds delta to a counter. The name must come from a fixed set, for example "cicadawall_retries_total".
func (m *Metrics) AddToCounter(name string, delta int) { m.set.GetOrCreateCounter(name).Add(delta) }

// WritePrometheus writes all series, including the metrics of the process, in the Prometheus text format.
func (m *Metrics) WritePrometheus(out io.Writer) {
	m.set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}
