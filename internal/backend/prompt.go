package backend

import "time"

const (
	// partRetention is how long a part of a prompt is assumed to stay in a server's KV cache after its last use. Servers evict
	// the least recently used parts and do not report it in time.
	partRetention = 60 * time.Second
	// maxPartsPerServer is the maximum number of parts that are remembered for one server.
	maxPartsPerServer = 2048
)

// PromptPart is one part of a prompt. Requests share leading parts; the last part belongs to one request or session.
type PromptPart struct {
	ID     string
	Tokens int
}

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt []PromptPart) int {
	total := 0
	for _, part := range prompt {
		total += part.Tokens
	}
	return total
}

// lastSharedPart returns the last part that other requests may share, or nil.
func lastSharedPart(prompt []PromptPart) *PromptPart {
	if len(prompt) < 2 {
		return nil
	}
	return &prompt[len(prompt)-2]
}

// tokensThrough returns the number of tokens up to and including the part.
func tokensThrough(prompt []PromptPart, last *PromptPart) int {
	total := 0
	for i := range prompt {
		total += prompt[i].Tokens
		if &prompt[i] == last {
			break
		}
	}
	return total
}

type partKey struct{ model, id string }

// promptCache estimates the content of a server's prefix cache from the prompts that this instance sent to it. Callers hold the
// directory's lock.
type promptCache struct{ lastUsed map[partKey]time.Time }

// cachedTokens returns the number of leading tokens of the prompt that are probably in the server's cache for the model.
func (p *promptCache) cachedTokens(model string, prompt []PromptPart, now time.Time) int {
	total := 0
	for _, part := range prompt {
		last, ok := p.lastUsed[partKey{model, part.ID}]
		if !ok || now.Sub(last) > partRetention {
			break
		}
		total += part.Tokens
	}
	return total
}

// recordPrompt records that the server has prefilled the prompt.
func (p *promptCache) recordPrompt(model string, prompt []PromptPart, now time.Time) {
	if p.lastUsed == nil {
		p.lastUsed = map[partKey]time.Time{}
	}
	if len(p.lastUsed) > maxPartsPerServer {
		p.evict(now)
	}
	for _, part := range prompt {
		p.lastUsed[partKey{model, part.ID}] = now
	}
}

// evict removes the parts that were not used recently, or all parts if that leaves more than half of the maximum.
func (p *promptCache) evict(now time.Time) {
	for key, last := range p.lastUsed {
		if now.Sub(last) > partRetention/4 {
			delete(p.lastUsed, key)
		}
	}
	if len(p.lastUsed) > maxPartsPerServer/2 {
		clear(p.lastUsed)
	}
}
