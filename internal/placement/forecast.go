package placement

import "github.com/cicadawall/cicadawall/internal/declaration"

const (
	// riseWeight and fallWeight are the weights of a new sample above and below the forecast. The forecast rises faster than it
	// falls, so that replicas are still there when a peak returns.
	riseWeight = 0.2
	fallWeight = 0.05
)

// Forecast smooths the demand for each version across rounds. It is not safe for concurrent use.
type Forecast struct {
	values map[declaration.VersionID]float64
}

// NewForecast returns a forecast without samples.
func NewForecast() *Forecast { return &Forecast{values: map[declaration.VersionID]float64{}} }

// Observe adds a round's number of concurrent requests for the version and returns the smoothed demand.
func (f *Forecast) Observe(version declaration.VersionID, concurrent float64) float64 {
	value, ok := f.values[version]
	if !ok {
		f.values[version] = concurrent
		return concurrent
	}
	weight := fallWeight
	if concurrent > value {
		weight = riseWeight
	}
	value += weight * (concurrent - value)
	f.values[version] = value
	return value
}

// Forget drops the forecast of a version.
func (f *Forecast) Forget(version declaration.VersionID) { delete(f.values, version) }
