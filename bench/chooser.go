package bench

import (
	"math/rand/v2"
	"time"
)

// chooser picks workers in the way of core/route: two random choices compared
// by use, and workers that fail five times in a row are left out for a while.
type chooser struct {
	rng    *rand.Rand
	failed map[string]int
	until  map[string]time.Time
	times  map[string]int
}

// Ejection of workers that fail.
const (
	ejectAfter = 5
	ejectFirst = 5 * time.Second
	ejectMax   = 60 * time.Second
)

func newChooser(rng *rand.Rand) *chooser {
	return &chooser{rng: rng, failed: map[string]int{}, until: map[string]time.Time{}, times: map[string]int{}}
}

func (c *chooser) pick(now time.Time, cands []string, use func(vm string) int) (string, bool) {
	ok := make([]string, 0, len(cands))
	for _, vm := range cands {
		if !now.Before(c.until[vm]) {
			ok = append(ok, vm)
		}
	}
	if len(ok) == 0 {
		return "", false
	}
	a, b := ok[c.rng.IntN(len(ok))], ok[c.rng.IntN(len(ok))]
	if use(b) < use(a) {
		return b, true
	}
	return a, true
}

func (c *chooser) report(now time.Time, vm string, ok bool) {
	if ok {
		c.failed[vm], c.times[vm] = 0, 0
		return
	}
	if c.failed[vm]++; c.failed[vm] >= ejectAfter {
		c.until[vm] = now.Add(min(ejectFirst<<min(c.times[vm], 10), ejectMax))
		c.times[vm]++
		c.failed[vm] = ejectAfter - 1 // one more failure after the return ejects again
	}
}
