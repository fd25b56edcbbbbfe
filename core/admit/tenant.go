package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Tenant holds the settings of a tenant.
type Tenant struct {
	Name   string
	Weight int     // weight in fair queueing; 0 means 1
	Rate   float64 // accepted requests per second at this entry; 0 means no limit
	Burst  int     // size of the token bucket in requests; 0 means one second of Rate
}

// tenant is a tenant with its rate limiter, which is nil without a limit.
type tenant struct {
	Tenant
	limiter *rate.Limiter
}

func (t *tenant) weight() float64 { return float64(max(1, t.Weight)) }

// configure applies new settings and keeps the tokens of the limiter.
func (t *tenant) configure(now time.Time, s Tenant) {
	t.Tenant = s
	if s.Rate <= 0 {
		t.limiter = nil
		return
	}
	burst := s.Burst
	if burst <= 0 {
		burst = int(math.Ceil(s.Rate))
	}
	if t.limiter == nil {
		t.limiter = rate.NewLimiter(rate.Limit(s.Rate), burst)
		return
	}
	t.limiter.SetLimitAt(now, rate.Limit(s.Rate))
	t.limiter.SetBurstAt(now, burst)
}

// takeToken takes a token and returns 0, or returns the time until the next token is available.
func (t *tenant) takeToken(now time.Time) time.Duration {
	if t.limiter == nil || t.limiter.AllowN(now, 1) {
		return 0
	}
	missing := 1 - t.limiter.TokensAt(now)
	return time.Duration(missing / t.Rate * float64(time.Second))
}
