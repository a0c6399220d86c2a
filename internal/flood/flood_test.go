package flood

import (
	"strings"
	"testing"
)

const (
	// crowdSize is above fewDescriptors, so that a crowd also exceeds the descriptors of the instance.
	crowdSize      = 400
	fewDescriptors = 300
	// manyDescriptors are more than the largest crowd takes.
	manyDescriptors = 2000
	// One of finishers members ends its body as an ordinary caller does.
	finishers = 10
	piece     = 16 << 10
)

// Guards against long bodies of legal size that stop a byte short of their end: they take the memory for bodies and all descriptors, and
// ordinary callers are shut out.
func TestLongBodiesByLength(t *testing.T) {
	checkWith(t, fewDescriptors, crowdSize, func(n int) member {
		sent, pieces := maxBodyBytes-1, piece
		if n%finishers == 0 {
			sent = maxBodyBytes
		}
		if n%2 == 0 {
			pieces = maxBodyBytes
		}
		return lengthMember(maxBodyBytes, sent, pieces)
	})
}

// Guards against the same with chunked bodies, whose length nobody announces.
func TestLongBodiesInLargeChunks(t *testing.T) {
	const chunk = 256 << 10
	checkWith(t, fewDescriptors, crowdSize, func(n int) member { return chunkedMember(chunk, maxBodyBytes/chunk, n%finishers == 0) })
}

// Guards against the same with chunks of a few bytes, each of which takes several times its length on the wire.
func TestLongBodiesInSmallChunks(t *testing.T) {
	const chunk, bytes = 3, 300_000
	checkWith(t, fewDescriptors, crowdSize, func(n int) member { return chunkedMember(chunk, bytes/chunk, n%finishers == 0) })
}

// Guards against bodies over the limit that are announced: their connections stay open although they are refused.
func TestAnnouncedBodiesOverTheLimit(t *testing.T) {
	checkWith(t, fewDescriptors, crowdSize, func(int) member { return lengthMember(1<<40, maxBodyBytes, piece) })
}

// Guards against bodies over the limit that nobody announces.
func TestEndlessChunkedBodies(t *testing.T) {
	w := newWorld(t, fewDescriptors)
	c := newCrowd(w)
	c.join(crowdSize, func(int) member { return chunkedMember(piece, -1, false) })
	// The members go on sending until the instance closes their connections.
	w.check()
}

// Guards against connections that send half a head or nothing: they take all descriptors, and the longest heads take the memory.
func TestSilentConnectionsAndHalfHeads(t *testing.T) {
	complete := head("X-Padding: " + strings.Repeat("x", maxHeadBytes-1000))
	checkWith(t, fewDescriptors, crowdSize, func(n int) member {
		switch n % 3 {
		case 0:
			return textMember("")
		case 1:
			return textMember("POST " + path + " HTTP/1.1\r\nHos")
		default:
			return textMember(complete[:len(complete)-1])
		}
	})
}

// Guards against short bodies that stop a byte short of their end in such a number that they take all of the memory for bodies. On 2026-12-06,
// 1,500 of them left an instance alive that answered 3 of 40 ordinary requests in 20 s.
func TestShortBodiesTakeAllMemory(t *testing.T) {
	const announced, size = 30_000, 700
	checkWith(t, manyDescriptors, size, func(int) member { return lengthMember(announced, announced-1, announced) })
}

// Guards against crowds that come in waves and keep their bodies alive with a byte now and then.
func TestWavesAndTrickles(t *testing.T) {
	const waves, waveSize, announced, first = 4, 150, 1 << 20, 100_000
	w := newWorld(t, fewDescriptors)
	c := newCrowd(w)
	for range waves {
		c.join(waveSize, func(n int) member {
			if n%2 == 0 {
				return lengthMember(announced, first, piece)
			}
			return lengthMember(2*ordinaryBodyBytes, 1, 1)
		})
		c.sending.Wait()
		c.trickle()
		w.check()
		c.trickle()
	}
}
