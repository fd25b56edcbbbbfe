package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// targets holds the number of slots that each reporting holder should have by the demand of all, and its current limits.
type targets struct {
	target  map[*peer]int
	current map[*peer]int
}

// shortageExcept returns the number of slots that the holders other than p lack, after the free ones are given out.
func (t targets) shortageExcept(p *peer, free []int) int {
	n := 0
	for q, target := range t.target {
		if q != p {
			n += max(0, target-t.current[q])
		}
	}
	for _, f := range free {
		n -= max(0, f)
	}
	return max(0, n)
}

// computeTargets divides the slots between the holders that report: first
// between the classes of the pool (guaranteed shares, then by rank), then
// between the holders by demand. Slots that silent holders may use are left out.
func (o *Owner) computeTargets(now time.Time) targets {
	var peers []*peer
	total := len(o.view.Workers) * o.view.Slots
	for _, m := range o.members {
		p := o.peers[m]
		if now.Sub(p.reportedAt) <= o.policy.TTL {
			peers = append(peers, p)
			continue
		}
		for w := range o.view.Workers {
			total -= o.claimedSlots(now, p, w, false)
		}
	}
	t := targets{target: make(map[*peer]int, len(peers)), current: make(map[*peer]int, len(peers))}
	if len(peers) == 0 {
		return t
	}
	left := total
	for c, n := range o.allotClasses(total, peers) {
		weights := make([]float64, len(peers))
		for i, p := range peers {
			weights[i] = float64(Counts(p.run).at(c) + Counts(p.wait).at(c))
		}
		for i, k := range apportion(n, weights) {
			t.target[peers[i]] += k
		}
		left -= n
	}
	for i, k := range o.lendAhead(max(0, left), peers) {
		t.target[peers[i]] += k
	}
	if !o.policy.NoUrgent {
		o.shiftToUrgent(t, peers)
	}
	for _, p := range peers {
		t.current[p] = sum(p.currentLimits())
	}
	return t
}

// lendAhead divides the idle slots that are lent ahead of demand. The rest stays
// with the owner in reserve for the first entry that runs out of slots.
func (o *Owner) lendAhead(idle int, peers []*peer) []int {
	weights := make([]float64, len(peers))
	for i, p := range peers {
		weights[i] = 1
		if !o.policy.NoReserve {
			weights[i] = math.Sqrt(weights[i] + float64(sum(p.run)+sum(p.wait)))
		}
	}
	if !o.policy.NoReserve {
		idle = int(o.policy.Lend * float64(idle))
	}
	return apportion(idle, weights)
}

// allotClasses returns the number of slots, out of total, that each class should have in use.
func (o *Owner) allotClasses(total int, peers []*peer) []int {
	n := len(o.view.Classes)
	demand, out, order := make([]int, n), make([]int, n), make([]int, n)
	for c := range n {
		order[c] = c
		for _, p := range peers {
			demand[c] += Counts(p.run).at(c) + Counts(p.wait).at(c)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(o.view.Classes[a].Rank, o.view.Classes[b].Rank)
	})
	left := total
	allot := func(c, upTo int) {
		k := max(0, min(upTo-out[c], left))
		out[c] += k
		left -= k
	}
	for _, c := range order {
		allot(c, min(demand[c], int(math.Ceil(o.view.Classes[c].Share*float64(total)))))
	}
	for _, c := range order {
		ceiling := total
		if f := o.view.Classes[c].Ceiling; f > 0 {
			ceiling = int(math.Ceil(f * float64(total)))
		}
		allot(c, min(demand[c], ceiling))
	}
	return out
}

// apportion divides n in proportion to weights by the largest remainder method.
func apportion(n int, weights []float64) []int {
	out := make([]int, len(weights))
	total := 0.0
	for _, w := range weights {
		total += w
	}
	if total == 0 || n <= 0 {
		return out
	}
	rest := make([]float64, len(weights))
	order := make([]int, len(weights))
	left := n
	for i, w := range weights {
		exact := float64(n) * w / total
		out[i] = int(exact)
		rest[i] = exact - float64(out[i])
		left -= out[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rest[b], rest[a]) })
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// shiftToUrgent raises the targets of holders whose urgent requests are queued
// behind their own running work of lower rank. That work cannot be stopped, and
// an entry with few slots waits long for one of them to become free. The other
// holders give up slots in proportion to their running work of lower rank, so
// that the urgent request starts when the first of many requests ends. For
// every Policy.Near running requests of lower rank, one urgent request gets no
// such slot, since it soon gets one of theirs.
func (o *Owner) shiftToUrgent(t targets, peers []*peer) {
	urgentRank := math.MaxInt
	for _, c := range o.view.Classes {
		urgentRank = min(urgentRank, c.Rank)
	}
	lower := make([]float64, len(peers)) // slots that a holder can give up
	extra := make([]int, len(peers))     // slots that a holder needs beyond its target
	for i, p := range peers {
		urgent, other := 0, 0
		for c, class := range o.view.Classes {
			if class.Rank == urgentRank {
				urgent += Counts(p.wait).at(c)
			} else {
				other += Counts(p.run).at(c)
			}
		}
		need := sum(p.run) + urgent - other/o.policy.Near
		if extra[i] = max(0, need-t.target[p]); extra[i] == 0 || urgent == 0 {
			extra[i] = 0
			lower[i] = float64(max(0, min(other, t.target[p])))
		}
	}
	for i, k := range apportion(min(sum(extra), int(sumFloats(lower))), lower) {
		t.target[peers[i]] -= k
	}
	left := int(sumFloats(lower))
	for i, p := range peers {
		k := min(extra[i], left)
		t.target[p] += k
		left -= k
	}
}

func sumFloats(xs []float64) float64 {
	n := 0.0
	for _, x := range xs {
		n += x
	}
	return n
}
