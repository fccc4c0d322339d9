package upstream

import (
	"context"
	"slices"
	"sync"
	"time"
)

// slots bounds the statements that run concurrently and grants slots in the
// order of requests. Size 0 means no limit.
type slots struct {
	mu           sync.Mutex
	size         int
	running      int
	peak         int
	totalGranted int
	waiters      []chan struct{}
}

func newSlots(size int) *slots { return &slots{size: size} }

// acquire waits for a slot and holds it for the service time before it returns.
// The caller releases the slot afterwards.
func (s *slots) acquire(ctx context.Context, serviceTime time.Duration) (release func(), err error) {
	granted := s.request()
	select {
	case <-granted:
	case <-ctx.Done():
		s.cancelWait(granted)
		return nil, contextError(ctx)
	}
	if err := sleep(ctx, serviceTime); err != nil {
		s.release()
		return nil, err
	}
	return s.release, nil
}

// request returns a channel that is closed when the slot is granted.
func (s *slots) request() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.grant()
	return granted
}

// grant gives free slots to the longest waiting requests. The caller holds mu.
func (s *slots) grant() {
	for len(s.waiters) > 0 && (s.size == 0 || s.running < s.size) {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		s.running++
		s.totalGranted++
		s.peak = max(s.peak, s.running)
	}
}

// cancelWait withdraws a request. If its slot was granted meanwhile, the slot
// is released.
func (s *slots) cancelWait(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, granted); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return
	}
	s.running--
	s.grant()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.grant()
}

func (s *slots) resize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = size
	s.grant()
}

// connectionLimit bounds the open sessions. Size 0 means no limit.
type connectionLimit struct {
	mu    sync.Mutex
	size  int
	open  int
	peak  int
	total int
}

func (c *connectionLimit) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.size > 0 && c.open >= c.size {
		return false
	}
	c.open++
	c.total++
	c.peak = max(c.peak, c.open)
	return true
}

func (c *connectionLimit) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}
