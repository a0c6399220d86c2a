// Package benchpolicy measures the routing decisions in a discrete-event simulation with a virtual clock. It doesn't simulate
// a whole cluster: a simulated model server is a batch with a queue and a prefix cache, and a simulated router instance is its
// view of the servers.
package benchpolicy

import (
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// model describes a version and the simulated engine that runs it.
type model struct {
	version declaration.VersionID
	// inputCost and outputCost are cost units per 1,000 tokens.
	inputCost, outputCost float64
	expectedQuality       float64
	easyQuality           float64
	hardQuality           float64
	// prefillPerBlock is the time for one prompt block, decodePerToken the time for one output token, both on an idle server.
	prefillPerBlock, decodePerToken time.Duration
	serverCount                     int
}

// class describes the requests of a service class.
type class struct {
	name string
	// requestFraction is the fraction of all requests that belong to the class.
	requestFraction  float64
	prefixBlocks     int
	uniqueBlocks     int
	outputTokens     int
	firstTokenTarget time.Duration
	deadline         time.Duration
}

// site is a deployment of the present size; see section 1.5 of the design page.
type site struct {
	name          string
	zoneCount     int
	zoneDelay     time.Duration
	clientDelay   time.Duration
	instanceCount int
	models        []model
	classes       []class
	organisations []float64 // request weight of each organisation
	// qualityTarget applies to every class.
	qualityTarget float64
	// prefixCount is the number of distinct shared prompt prefixes.
	prefixCount int
}

const (
	// batchCapacity is the number of requests that a simulated engine runs concurrently.
	batchCapacity = 16
	// tokensPerBlock converts prompt blocks to tokens.
	tokensPerBlock = 64
	// hardFraction is the fraction of requests that the small model answers badly.
	hardFraction = 1.0 / 3
	// restrictedOrganisation is the index of the organisation that may not use the small model.
	restrictedOrganisation = 9
	// smallModel and largeModel are indexes into site.models, which is ordered by cost, cheapest first.
	smallModel, largeModel = 0, 2
)

// models returns one version of each of three models. Their prices are 1 : 5 : 20, as between the sizes of a model family.
func models(small, medium, large int) []model {
	id := func(name string) declaration.VersionID { return declaration.VersionID{Model: name, Version: "1"} }
	return []model{
		{id("small"), 0.05, 0.2, 0.80, 0.93, 0.60, 2 * time.Millisecond, 6 * time.Millisecond, small},
		{id("medium"), 0.25, 1, 0.85, 0.94, 0.75, 4 * time.Millisecond, 12 * time.Millisecond, medium},
		{id("large"), 1, 4, 0.92, 0.95, 0.90, 8 * time.Millisecond, 25 * time.Millisecond, large},
	}
}

// organisationWeights holds the request weights of ten organisations, a few of them large.
var organisationWeights = []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1}

func guild() site {
	return site{
		name: "Guild", zoneCount: 4, zoneDelay: 500 * time.Microsecond, clientDelay: time.Millisecond, instanceCount: 6,
		models: models(3, 2, 7),
		classes: []class{
			{"settlement", 0.2, 24, 24, 400, 0, 60 * time.Second},
			{"restock", 0.4, 24, 6, 150, 0, 30 * time.Second},
			{"size-chart", 0.4, 24, 1, 40, 1200 * time.Millisecond, 5 * time.Second},
		},
		organisations: organisationWeights, qualityTarget: 0.90, prefixCount: 60,
	}
}

func parabole() site {
	return site{
		name: "Parabole", zoneCount: 3, zoneDelay: 1500 * time.Microsecond, clientDelay: time.Millisecond, instanceCount: 7,
		models: models(4, 3, 11),
		classes: []class{
			{"guidance", 0.5, 24, 4, 200, 1200 * time.Millisecond, 15 * time.Second},
			{"warranty", 0.2, 24, 24, 400, 0, 60 * time.Second},
			{"signal", 0.3, 24, 1, 40, 1200 * time.Millisecond, 5 * time.Second},
		},
		organisations: organisationWeights, qualityTarget: 0.90, prefixCount: 90,
	}
}

// largeModelOnly returns the site with all servers running the large model, to measure the choice of a server alone.
func (s site) largeModelOnly() site {
	total := 0
	for _, m := range s.models {
		total += m.serverCount
	}
	large := s.models[largeModel]
	large.serverCount = total
	s.models = []model{large}
	return s
}

func (s *site) zone(i int) string { return fmt.Sprintf("zone-%d", i%s.zoneCount) }

// capacity returns the requests per second that the servers of a model can serve with full batches and cold caches.
func (s *site) capacity(m *model) float64 {
	var service time.Duration
	for _, c := range s.classes {
		service += time.Duration(c.requestFraction * float64(s.serviceTime(m, &c, 1)))
	}
	return float64(m.serverCount*batchCapacity) / service.Seconds()
}

// serviceTime returns the time that a request spends in the batch with a cold cache; fill is the used fraction of the
// batch, between 0 and 1.
func (s *site) serviceTime(m *model, c *class, fill float64) time.Duration {
	prefill := time.Duration(float64(m.prefillPerBlock) * float64(c.prefixBlocks+c.uniqueBlocks) * (1 + fill))
	return prefill + time.Duration(c.outputTokens)*decodeTime(m, fill)
}

// decodeTime returns the time for one output token; it grows with the used fraction of the batch.
func decodeTime(m *model, fill float64) time.Duration {
	return time.Duration(float64(m.decodePerToken) * (1 + 0.6*fill))
}

// answerCost returns the cost of one answer in cost units.
func answerCost(m *model, c *class) float64 {
	input := float64((c.prefixBlocks + c.uniqueBlocks) * tokensPerBlock)
	return (input*m.inputCost + float64(c.outputTokens)*m.outputCost) / 1000
}
