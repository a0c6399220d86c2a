package backend

import "time"

const (
	// promptMemory is how long a part of a prompt is assumed to stay in a server's memory after its last use. Servers drop
	// the least recently used parts and do not say so in time.
	promptMemory = 60 * time.Second
	// maxParts bounds the parts remembered for one server.
	maxParts = 2048
)

// Part is one part of a prompt. Requests share leading parts; the last one belongs to the request or its session.
type Part struct {
	ID     string
	Tokens int
}

// Tokens returns the length of a prompt.
func Tokens(prompt []Part) int {
	total := 0
	for _, part := range prompt {
		total += part.Tokens
	}
	return total
}

// sharedPart returns the last part that other requests share, or nil.
func sharedPart(prompt []Part) *Part {
	if len(prompt) < 2 {
		return nil
	}
	return &prompt[len(prompt)-2]
}

// tokensThrough returns the tokens up to the end of the part.
func tokensThrough(prompt []Part, last *Part) int {
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

// promptCache remembers which parts a server has read for this instance. Its users hold the directory's lock.
type promptCache struct{ used map[partKey]time.Time }

// cached returns the leading tokens that the server probably holds for the model.
func (p *promptCache) cached(model string, prompt []Part, now time.Time) int {
	total := 0
	for _, part := range prompt {
		last, ok := p.used[partKey{model, part.ID}]
		if !ok || now.Sub(last) > promptMemory {
			break
		}
		total += part.Tokens
	}
	return total
}

// read records that the server reads the prompt.
func (p *promptCache) read(model string, prompt []Part, now time.Time) {
	if p.used == nil {
		p.used = map[partKey]time.Time{}
	}
	if len(p.used) > maxParts {
		p.forget(now)
	}
	for _, part := range prompt {
		p.used[partKey{model, part.ID}] = now
	}
}

// forget drops the parts that were not used lately, and all of them if that frees too little.
func (p *promptCache) forget(now time.Time) {
	for key, last := range p.used {
		if now.Sub(last) > promptMemory/4 {
			delete(p.used, key)
		}
	}
	if len(p.used) > maxParts/2 {
		clear(p.used)
	}
}
