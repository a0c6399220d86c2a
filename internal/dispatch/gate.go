package dispatch

import (
	"math"
	"strings"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
)

// confidenceTokens is the number of tokens at the start of an answer whose mean probability is its confidence, so that the
// caller of a chain waits for a few tokens and not for the complete first answer. The number is the same for every answer,
// because ratings are grouped by confidence.
const confidenceTokens = 24

// confidenceGate buffers the first answer of a chain until its confidence is known, and then releases or escalates it. A gate
// without a chain passes all text on at once.
type confidenceGate struct {
	chain *cascade.Chain
	// holdToEnd delays the decision to the end of the answer even if its confidence is low, because the complete answer of an
	// exploration chain is rated.
	holdToEnd bool

	heldText     strings.Builder
	logprobSum   float64
	logprobCount int
	// open means that text is passed on without delay: there is no chain, or the answer was accepted.
	open bool
}

func newConfidenceGate(chain *cascade.Chain, holdToEnd bool) *confidenceGate {
	return &confidenceGate{chain: chain, holdToEnd: holdToEnd, open: chain == nil}
}

// confidence returns the geometric mean probability of the first tokens, or 0 if the engine sends no log probabilities.
func (g *confidenceGate) confidence() float64 {
	if g.logprobCount == 0 {
		return 0
	}
	return math.Exp(g.logprobSum / float64(g.logprobCount))
}

// add processes the next chunk and returns the text to pass on, and whether the next step must run.
func (g *confidenceGate) add(chunk stream.Chunk) (text string, escalate bool) {
	text = chunkText(chunk)
	g.observeLogprobs(chunk)
	if g.open {
		return text, false
	}
	g.heldText.WriteString(text)
	if g.holdToEnd || g.logprobCount < confidenceTokens {
		return "", false
	}
	return g.decide()
}

// close decides at the end of the answer if that is still open, and returns the text that was held back.
func (g *confidenceGate) close() (text string, escalate bool) {
	if g.open {
		return "", false
	}
	return g.decide()
}

// decide releases the text that was held back, or escalates if the confidence is too low.
func (g *confidenceGate) decide() (text string, escalate bool) {
	if g.chain.ShouldEscalate(g.confidence()) {
		return "", true
	}
	g.open = true
	return g.heldText.String(), false
}

// observeLogprobs adds the log probabilities of the chunk's tokens, up to the first confidenceTokens of the answer.
func (g *confidenceGate) observeLogprobs(chunk stream.Chunk) {
	for _, choice := range chunk.Body.Choices {
		if choice.Logprobs == nil {
			continue
		}
		for _, token := range choice.Logprobs.Content {
			if g.logprobCount == confidenceTokens {
				return
			}
			g.logprobSum += token.Logprob
			g.logprobCount++
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
