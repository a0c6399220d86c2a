package migration

import "math"

const (
	// histogramBuckets is the number of buckets of a Histogram. Their upper limits grow by histogramRatio from 1 ms; the last bucket has
	// none.
	histogramBuckets = 32
	histogramRatio   = math.Sqrt2
)

// Histogram counts times by their magnitude.
type Histogram [histogramBuckets]int

// add counts a time, given as the natural logarithm of its milliseconds.
func (h *Histogram) add(log float64) {
	h[min(histogramBuckets-1, max(0, int(log/math.Log(histogramRatio))))]++
}

func (h Histogram) combinedWith(other Histogram) Histogram {
	for i, count := range other {
		h[i] += count
	}
	return h
}

// quantile returns the natural logarithm of the milliseconds below which a fraction of the times lies.
func (h Histogram) quantile(fraction float64) float64 {
	total := 0
	for _, count := range h {
		total += count
	}
	rank := fraction * float64(total)
	for i, count := range h {
		if rank <= float64(count) && count > 0 {
			return (float64(i) + rank/float64(count)) * math.Log(histogramRatio)
		}
		rank -= float64(count)
	}
	return histogramBuckets * math.Log(histogramRatio)
}

// Counts returns the counts without the empty buckets at the end.
func (h Histogram) Counts() []int {
	end := len(h)
	for end > 0 && h[end-1] == 0 {
		end--
	}
	return h[:end:end]
}

// HistogramOf returns the histogram with the counts. Further buckets of another version of this program are ignored.
func HistogramOf(counts []int) Histogram {
	var h Histogram
	copy(h[:], counts)
	return h
}
