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
	defaultQuality = 0.8
	defaultTokens  = 40
	// bytesPerToken converts prompt bytes to tokens.
	bytesPerToken = 4
	// answerNoise is the standard deviation of an answer's quality around the mean of its version.
	answerNoise = 0.08
	// confidenceNoise is the standard deviation of a token's probability around the answer's confidence.
	confidenceNoise = 0.05
)

var words = strings.Fields(`the order sheet lists boxes of shirts posters and vinyl for each booth with size color count and
price before the show opens so crews can check align mount restock print refund settle and close the leg on time`)

// answer is the whole answer to a prompt, fixed before the first token. Its words depend only on version, prompt and seed,
// so that any server of the version continues it exactly. The first token is the marker that the rating stand-in reads.
type answer struct {
	tokens   []string
	logprobs []float64
	// finish is the finish reason, stop or length.
	finish string
}

// compose builds the answer. limit is the largest number of tokens; 0 means none.
func compose(version api.EngineStandinVersion, prompt string, seed int64, limit int) answer {
	source := xxhash.Sum64String(fmt.Sprintf("%s@%s\n%s", version.Model, version.Version, prompt))
	random := rand.New(rand.NewPCG(source, uint64(seed)))
	mean := version.Tokens
	if mean == 0 {
		mean = defaultTokens
	}
	count := max(2, int(float64(mean)*(0.5+random.Float64())))
	quality := clamp(version.Quality+random.NormFloat64()*answerNoise, 0, 1)
	result := answer{finish: "stop", tokens: []string{fmt.Sprintf("[q=%.4f]", quality)}}
	for len(result.tokens) < count {
		result.tokens = append(result.tokens, " "+words[random.IntN(len(words))])
	}
	if limit > 0 && limit < len(result.tokens) {
		result.tokens = result.tokens[:limit]
		result.finish = "length"
	}
	for range result.tokens {
		probability := clamp(0.3+0.65*quality+random.NormFloat64()*confidenceNoise, 0.01, 1)
		result.logprobs = append(result.logprobs, math.Log(probability))
	}
	return result
}

func clamp(value, low, high float64) float64 { return min(high, max(low, value)) }

// promptTokens returns the number of tokens of a prompt.
func promptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// limitOf returns the largest number of tokens that the request allows, or 0.
func limitOf(request api.ChatCompletionRequest) int {
	switch {
	case request.MaxCompletionTokens != nil:
		return *request.MaxCompletionTokens
	case request.MaxTokens != nil:
		return *request.MaxTokens
	}
	return 0
}

// seedOf returns the request's seed, or 0.
func seedOf(request api.ChatCompletionRequest) int64 {
	if request.Seed == nil {
		return 0
	}
	return *request.Seed
}
