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

// store is an empty log that allows a number of reads a second.
type store struct {
	limit *rate.Limiter

	mu             sync.Mutex
	asked, refused int
}

func (s *store) call() (platform.Page, error) {
	ok := s.limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if !ok {
		s.refused++
		return platform.Page{}, &platform.CallError{Call: "read", Status: http.StatusTooManyRequests}
	}
	return platform.Page{}, nil
}

func (s *store) Read(platform.Read) (platform.Page, error) { return s.call() }

func (s *store) Newest(string, int, time.Time) (platform.Page, error) { return s.call() }

// TestFollowersShareTheReadRate guards against followers that try again soon when the store refuses reads for their
// number: of 300 entries these take the rate, and reads that callers wait for are refused (e33b6f4b, at the start).
func TestFollowersShareTheReadRate(t *testing.T) {
	const followers, allowed = 120, 200 // reads of each 0.3 s ask for twice as many
	s := &store{limit: rate.NewLimiter(allowed, allowed/10)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range followers {
		r := NewDirectory(s, false, zap.NewNop())
		wg.Go(func() { r.Run(ctx) })
	}
	time.Sleep(1500 * time.Millisecond) // until they have slowed down
	s.mu.Lock()
	s.asked, s.refused = 0, 0
	s.mu.Unlock()
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	asked, refused := s.asked, s.refused
	s.mu.Unlock()
	cancel()
	wg.Wait()
	t.Logf("%d of %d reads refused", refused, asked)
	assert.Assert(t, asked-refused > allowed, "%d reads answered in 2 s", asked-refused)
	assert.Assert(t, refused < asked/3, "%d of %d reads refused", refused, asked)
}
