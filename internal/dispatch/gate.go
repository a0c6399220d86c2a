package dispatch

import (
	"math"
	"strings"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
)

// confidenceTokens is the number of first tokens whose mean probability is the confidence of an answer, so that the caller of
// a chain waits for a few tokens and not for the whole first answer. Every answer is judged by the same number, because
// ratings are grouped by confidence.
const confidenceTokens = 24

// gate holds back the first answer of a chain until its confidence is known. A gate without a chain is open.
type gate struct {
	chain *cascade.Chain
	// whole holds the answer back to its end even if it is weak, because an explored answer is rated.
	whole bool

	held       strings.Builder
	logprobSum float64
	tokens     int
	open       bool
}

func newGate(chain *cascade.Chain, whole bool) *gate {
	return &gate{chain: chain, whole: whole, open: chain == nil}
}

// confidence returns the geometric mean probability of the first tokens, or 0 if the engine sends none.
func (g *gate) confidence() float64 {
	if g.tokens == 0 {
		return 0
	}
	return math.Exp(g.logprobSum / float64(g.tokens))
}

// add takes the next chunk and returns the text to pass on, and whether the next step must run.
func (g *gate) add(chunk stream.Chunk) (text string, escalate bool) {
	text = chunkText(chunk)
	g.observe(chunk)
	if g.open {
		return text, false
	}
	g.held.WriteString(text)
	if g.whole || g.tokens < confidenceTokens {
		return "", false
	}
	return g.decide()
}

// close decides at the end of the answer and returns the text that was held back.
func (g *gate) close() (text string, escalate bool) {
	if g.open {
		return "", false
	}
	return g.decide()
}

func (g *gate) decide() (text string, escalate bool) {
	if g.chain.ShouldEscalate(g.confidence()) {
		return "", true
	}
	g.open = true
	return g.held.String(), false
}

func (g *gate) observe(chunk stream.Chunk) {
	for _, choice := range chunk.Body.Choices {
		if choice.Logprobs == nil {
			continue
		}
		for _, token := range choice.Logprobs.Content {
			if g.tokens == confidenceTokens {
				return
			}
			g.logprobSum += token.Logprob
			g.tokens++
		}
	}
}

// chunkText returns the text of the first choice; the router asks engines for one choice only.
func chunkText(chunk stream.Chunk) string {
	if len(chunk.Body.Choices) == 0 {
		return ""
	}
	return chunk.Body.Choices[0].Delta.Content
}

// finishReason returns the finish reason of the first choice, if the chunk has one.
func finishReason(chunk stream.Chunk) string {
	if len(chunk.Body.Choices) == 0 {
		return ""
	}
	return chunk.Body.Choices[0].FinishReason
}
