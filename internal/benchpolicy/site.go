// Package benchpolicy measures the decision code on a virtual clock with small fakes at the interfaces. It simulates no
// cluster: a fake model server is a batch with a queue, and an instance is its view of the servers.
package benchpolicy

import (
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// model describes a version and how its fake engine behaves.
type model struct {
	version declaration.VersionID
	// inputCost and outputCost are in cost units for 1,000 tokens.
	inputCost, outputCost float64
	expectedQuality       float64
	easyQuality           float64
	hardQuality           float64
	// prefill is the time for one prompt block, decode for one token, both on an idle server.
	prefill, decode time.Duration
	servers         int
}

// class describes the requests of a class.
type class struct {
	name string
	// share is the share of requests.
	share        float64
	prefixBlocks int
	ownBlocks    int
	outputTokens int
	firstToken   time.Duration
	deadline     time.Duration
}

// site is a deployment of today's size, see section 1.5 of the design page.
type site struct {
	name          string
	zones         int
	zoneDelay     time.Duration
	clientDelay   time.Duration
	instances     int
	models        []model
	classes       []class
	organisations []float64 // weights
	// quality is the target of every class.
	quality float64
	// prefixes is the number of different shared prompt beginnings.
	prefixes int
}

const (
	// batchCapacity is the number of requests that a fake engine runs at a time.
	batchCapacity = 16
	// tokensPerBlock converts prompt blocks to tokens.
	tokensPerBlock = 64
	// hardShare is the share of requests that the small model answers badly.
	hardShare = 1.0 / 3
	// restricted is the organisation that may not use the small model.
	restricted = 9
	// indexes of the models, cheapest first
	smallModel, largeModel = 0, 2
)

// models returns three versions. Prices are 1 : 5 : 20, as between the sizes of a model family.
func models(small, medium, large int) []model {
	id := func(name string) declaration.VersionID { return declaration.VersionID{Model: name, Version: "1"} }
	return []model{
		{id("small"), 0.05, 0.2, 0.80, 0.93, 0.60, 2 * time.Millisecond, 6 * time.Millisecond, small},
		{id("medium"), 0.25, 1, 0.85, 0.94, 0.75, 4 * time.Millisecond, 12 * time.Millisecond, medium},
		{id("large"), 1, 4, 0.92, 0.95, 0.90, 8 * time.Millisecond, 25 * time.Millisecond, large},
	}
}

// organisationWeights are ten organisations, a few of them large.
var organisationWeights = []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1}

func guild() site {
	return site{
		name: "Guild", zones: 4, zoneDelay: 500 * time.Microsecond, clientDelay: time.Millisecond, instances: 6,
		models: models(3, 2, 7),
		classes: []class{
			{"settlement", 0.2, 24, 24, 400, 0, 60 * time.Second},
			{"restock", 0.4, 24, 6, 150, 0, 30 * time.Second},
			{"size-chart", 0.4, 24, 1, 40, 1200 * time.Millisecond, 5 * time.Second},
		},
		organisations: organisationWeights, quality: 0.90, prefixes: 60,
	}
}

func parabole() site {
	return site{
		name: "Parabole", zones: 3, zoneDelay: 1500 * time.Microsecond, clientDelay: time.Millisecond, instances: 7,
		models: models(4, 3, 11),
		classes: []class{
			{"guidance", 0.5, 24, 4, 200, 1200 * time.Millisecond, 15 * time.Second},
			{"warranty", 0.2, 24, 24, 400, 0, 60 * time.Second},
			{"signal", 0.3, 24, 1, 40, 1200 * time.Millisecond, 5 * time.Second},
		},
		organisations: organisationWeights, quality: 0.90, prefixes: 90,
	}
}

// oneModel returns the site with all servers running the large model, to measure the choice of server alone.
func (s site) oneModel() site {
	total := 0
	for _, m := range s.models {
		total += m.servers
	}
	large := s.models[largeModel]
	large.servers = total
	s.models = []model{large}
	return s
}

func (s *site) zone(i int) string { return fmt.Sprintf("zone-%d", i%s.zones) }

// capacity returns the requests per second that the servers of a model carry with full batches and cold caches.
func (s *site) capacity(m *model) float64 {
	var service time.Duration
	for _, c := range s.classes {
		service += time.Duration(c.share * float64(s.serviceTime(m, &c, 1)))
	}
	return float64(m.servers*batchCapacity) / service.Seconds()
}

// serviceTime is the time in the batch at a fill between 0 and 1 with a cold cache.
func (s *site) serviceTime(m *model, c *class, fill float64) time.Duration {
	prefill := time.Duration(float64(m.prefill) * float64(c.prefixBlocks+c.ownBlocks) * (1 + fill))
	return prefill + time.Duration(c.outputTokens)*decodeTime(m, fill)
}

// decodeTime is the time for one token; a full batch decodes slower.
func decodeTime(m *model, fill float64) time.Duration {
	return time.Duration(float64(m.decode) * (1 + 0.6*fill))
}

// cost returns the cost of one answer in cost units.
func cost(m *model, c *class) float64 {
	input := float64((c.prefixBlocks + c.ownBlocks) * tokensPerBlock)
	return (input*m.inputCost + float64(c.outputTokens)*m.outputCost) / 1000
}
