package tail

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"sassafrasvalve/platform"
)

// store is an empty log with a limit on the rate of reads.
type store struct {
	limit *rate.Limiter

	mu             sync.Mutex
	reads, refused int // answered reads are reads-refused
}

func (s *store) call() (platform.Page, error) {
	ok := s.limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if !ok {
		s.refused++
		return platform.Page{}, &platform.CallError{Call: "read", Status: http.StatusTooManyRequests}
	}
	return platform.Page{}, nil
}

func (s *store) Read(platform.ReadRequest) (platform.Page, error) { return s.call() }

func (s *store) Newest(string, int, time.Time) (platform.Page, error) { return s.call() }

// TestFollowersShareTheReadRate guards against followers that retry too soon when the store refuses reads above its rate:
// the followers of 300 entries then use up the rate, and reads that callers wait for are refused.
func TestFollowersShareTheReadRate(t *testing.T) {
	const followers, allowed = 120, 200 // one read per follower every 0.3 s makes 400 a second, twice the allowed rate
	s := &store{limit: rate.NewLimiter(allowed, allowed/10)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range followers {
		d := NewDirectory(s, false, zap.NewNop())
		wg.Go(func() { d.Run(ctx) })
	}
	time.Sleep(1500 * time.Millisecond) // until they have slowed down
	s.mu.Lock()
	s.reads, s.refused = 0, 0
	s.mu.Unlock()
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	reads, refused := s.reads, s.refused
	s.mu.Unlock()
	cancel()
	wg.Wait()
	t.Logf("%d of %d reads refused", refused, reads)
	assert.Assert(t, reads-refused > allowed, "%d reads answered in 2 s", reads-refused)
	assert.Assert(t, refused < reads/3, "%d of %d reads refused", refused, reads)
}
