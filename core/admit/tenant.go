package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Tenant is the settings of a team.
type Tenant struct {
	Name   string
	Weight int     // 0 means 1
	Rate   float64 // accepted requests a second at this entry; 0 means no limit
	Burst  int     // requests accepted at once above Rate; 0 means one second of Rate
}

type tenant struct {
	Tenant
	limiter *rate.Limiter
}

func (t *tenant) weight() float64 { return float64(max(1, t.Weight)) }

// set takes over new settings and keeps the tokens.
func (t *tenant) set(now time.Time, s Tenant) {
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

// wait returns how long the tenant must wait for a token, and takes one if it need not.
func (t *tenant) wait(now time.Time) time.Duration {
	if t.limiter == nil || t.limiter.AllowN(now, 1) {
		return 0
	}
	missing := 1 - t.limiter.TokensAt(now)
	return time.Duration(missing / t.Rate * float64(time.Second))
}
