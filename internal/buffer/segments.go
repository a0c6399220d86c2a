package buffer

import "sync"

const (
	// firstPooledBytes and lastPooledBytes are the sizes of the first and of the largest segments after the initial one.
	firstPooledBytes = 4 << 10
	lastPooledBytes  = 64 << 10
)

// segmentPools hold segments for use again, by size. Without them, bodies that never end would leave garbage faster than it is collected.
var segmentPools = newSegmentPools()

func newSegmentPools() map[int]*sync.Pool {
	pools := map[int]*sync.Pool{}
	for size := firstPooledBytes; size <= lastPooledBytes; size *= 2 {
		pools[size] = &sync.Pool{New: func() any {
			segment := make([]byte, 0, size)
			return &segment
		}}
	}
	return pools
}

// segments hold a message of unknown length without copying what has arrived. The initial segment is shorter than initialBytes if the message
// is; each further one is twice as long as the one before, up to lastPooledBytes.
type segments struct {
	initial []byte
	pooled  []*[]byte
	length  int
}

// nextSize returns the size of the next segment of a message of at most longest bytes.
func (s *segments) nextSize(longest int) int {
	switch len(s.pooled) {
	case 0:
		if s.initial == nil {
			return min(initialBytes, longest)
		}
		return firstPooledBytes
	default:
		return min(2*cap(*s.pooled[len(s.pooled)-1]), lastPooledBytes)
	}
}

// add adds a segment of nextSize bytes.
func (s *segments) add(size int) {
	if s.initial == nil {
		s.initial = make([]byte, 0, size)
		return
	}
	s.pooled = append(s.pooled, segmentPools[size].Get().(*[]byte))
}

// last returns the segment that is being filled.
func (s *segments) last() *[]byte {
	if len(s.pooled) == 0 {
		return &s.initial
	}
	return s.pooled[len(s.pooled)-1]
}

// join returns the message as one slice.
func (s *segments) join() []byte {
	data := make([]byte, 0, s.length)
	data = append(data, s.initial...)
	for _, segment := range s.pooled {
		data = append(data, *segment...)
	}
	return data
}

// release returns the segments to their pools.
func (s *segments) release() {
	for _, segment := range s.pooled {
		*segment = (*segment)[:0]
		segmentPools[cap(*segment)].Put(segment)
	}
	s.pooled = nil
}
