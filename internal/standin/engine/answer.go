package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	defaultQuality    = 0.8
	defaultMeanTokens = 40
	// bytesPerToken converts prompt bytes to tokens.
	bytesPerToken = 4
	// qualityStdDev is the standard deviation of an answer's quality around the quality of its version.
	qualityStdDev = 0.08
	// tokenProbabilityStdDev is the standard deviation of a token's probability around the mean that follows from the
	// answer's quality.
	tokenProbabilityStdDev = 0.05
)

var vocabulary = strings.Fields(`the order sheet lists boxes of shirts posters and vinyl for each booth with size color count and
price before the show opens so crews can check align mount restock print refund settle and close the leg on time`)

// answer is the whole answer to a prompt, generated before the first token is sent. Its words depend only on version, prompt
// and seed, so that any engine that serves the version can continue it exactly. The first token is the quality marker that
// the rating stand-in reads.
type answer struct {
	tokens   []string
	logprobs []float64
	// finishReason is "stop" or "length".
	finishReason string
}

// generateAnswer generates an answer of at most maxTokens tokens; 0 means no limit.
func generateAnswer(version api.EngineStandinVersion, prompt string, seed int64, maxTokens int) answer {
	promptHash := xxhash.Sum64String(fmt.Sprintf("%s@%s\n%s", version.Model, version.Version, prompt))
	random := rand.New(rand.NewPCG(promptHash, uint64(seed)))
	meanTokens := version.Tokens
	if meanTokens == 0 {
		meanTokens = defaultMeanTokens
	}
	count := max(2, int(float64(meanTokens)*(0.5+random.Float64())))
	quality := clamp(version.Quality+random.NormFloat64()*qualityStdDev, 0, 1)
	result := answer{finishReason: "stop", tokens: []string{fmt.Sprintf("[q=%.4f]", quality)}}
	for len(result.tokens) < count {
		result.tokens = append(result.tokens, " "+vocabulary[random.IntN(len(vocabulary))])
	}
	if maxTokens > 0 && maxTokens < len(result.tokens) {
		result.tokens = result.tokens[:maxTokens]
		result.finishReason = "length"
	}
	for range result.tokens {
		probability := clamp(0.3+0.65*quality+random.NormFloat64()*tokenProbabilityStdDev, 0.01, 1)
		result.logprobs = append(result.logprobs, math.Log(probability))
	}
	return result
}

func clamp(value, low, high float64) float64 { return min(high, max(low, value)) }

// promptTokens returns the number of tokens of a prompt.
func promptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// requestedMaxTokens returns the largest number of tokens that the request allows, or 0 if it sets no limit.
func requestedMaxTokens(request api.ChatCompletionRequest) int {
	switch {
	case request.MaxCompletionTokens != nil:
		return *request.MaxCompletionTokens
	case request.MaxTokens != nil:
		return *request.MaxTokens
	}
	return 0
}

// requestedSeed returns the request's seed, or 0 if it has none.
func requestedSeed(request api.ChatCompletionRequest) int64 {
	if request.Seed == nil {
		return 0
	}
	return *request.Seed
}
