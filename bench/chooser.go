package bench

import (
	"math/rand/v2"
	"time"
)

// chooser picks workers as core/route does: the less used of two random workers. A worker that fails five times in a
// row is ejected for some time.
type chooser struct {
	rng           *rand.Rand
	failuresInRow map[string]int
	ejectedUntil  map[string]time.Time
	ejections     map[string]int
}

// Limits of ejections. The time doubles with each ejection in a row, from ejectFirst to ejectMax.
const (
	ejectAfter = 5
	ejectFirst = 5 * time.Second
	ejectMax   = 60 * time.Second
)

func newChooser(rng *rand.Rand) *chooser {
	return &chooser{rng: rng, failuresInRow: map[string]int{}, ejectedUntil: map[string]time.Time{}, ejections: map[string]int{}}
}

func (c *chooser) pick(now time.Time, cands []string, use func(vm string) int) (string, bool) {
	ok := make([]string, 0, len(cands))
	for _, vm := range cands {
		if !now.Before(c.ejectedUntil[vm]) {
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
		c.failuresInRow[vm], c.ejections[vm] = 0, 0
		return
	}
	if c.failuresInRow[vm]++; c.failuresInRow[vm] >= ejectAfter {
		c.ejectedUntil[vm] = now.Add(min(ejectFirst<<min(c.ejections[vm], 10), ejectMax))
		c.ejections[vm]++
		c.failuresInRow[vm] = ejectAfter - 1 // the first failure after the ejection ejects the worker again
	}
}
