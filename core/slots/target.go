package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// targets is how many slots each holder should have by all demand.
type targets struct {
	holder map[*peer]int
	have   map[*peer]int
}

// needed returns how many slots the holders other than p lack beyond those that are free.
func (t targets) needed(p *peer, free []int) int {
	n := 0
	for q, want := range t.holder {
		if q != p {
			n += max(0, want-t.have[q])
		}
	}
	for _, f := range free {
		n -= max(0, f)
	}
	return max(0, n)
}

// targets divides the slots of the holders that report: per class over the
// pool (guaranteed shares first, then by rank), then over the holders by demand.
func (o *Owner) targets(now time.Time) targets {
	var peers []*peer
	total := len(o.view.Workers) * o.view.Slots
	for _, m := range o.members {
		p := o.peers[m]
		if now.Sub(p.at) <= o.policy.TTL {
			peers = append(peers, p)
			continue
		}
		for w := range o.view.Workers {
			total -= o.claim(now, p, w, false)
		}
	}
	t := targets{holder: make(map[*peer]int, len(peers)), have: make(map[*peer]int, len(peers))}
	if len(peers) == 0 {
		return t
	}
	left := total
	for c, n := range o.allot(total, peers) {
		weights := make([]float64, len(peers))
		for i, p := range peers {
			weights[i] = float64(Counts(p.run).at(c) + Counts(p.wait).at(c))
		}
		for i, k := range divide(n, weights) {
			t.holder[peers[i]] += k
		}
		left -= n
	}
	for i, k := range o.ahead(max(0, left), peers) {
		t.holder[peers[i]] += k
	}
	if !o.policy.NoUrgent {
		o.shiftToUrgent(t, peers)
	}
	for _, p := range peers {
		t.have[p] = sum(p.current())
	}
	return t
}

// ahead divides idle slots that are lent ahead of demand. The others stay with
// the owner for the first entry that runs out of slots.
func (o *Owner) ahead(idle int, peers []*peer) []int {
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
	return divide(idle, weights)
}

// allot returns how many of total slots each class should have in use.
func (o *Owner) allot(total int, peers []*peer) []int {
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
	give := func(c, upTo int) {
		k := max(0, min(upTo-out[c], left))
		out[c] += k
		left -= k
	}
	for _, c := range order {
		give(c, min(demand[c], int(math.Ceil(o.view.Classes[c].Share*float64(total)))))
	}
	for _, c := range order {
		top := total
		if f := o.view.Classes[c].Ceiling; f > 0 {
			top = int(math.Ceil(f * float64(total)))
		}
		give(c, min(demand[c], top))
	}
	return out
}

// divide splits n in proportion to weights, by largest remainder.
func divide(n int, weights []float64) []int {
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

// shiftToUrgent moves targets to holders whose urgent requests wait behind
// their own work of lower rank: that work cannot be stopped, and at an entry
// with few slots it is long until one of them is free. The others give up
// slots in proportion to their work of lower rank, so that the wait ends with
// the first of many.
func (o *Owner) shiftToUrgent(t targets, peers []*peer) {
	top := math.MaxInt
	for _, c := range o.view.Classes {
		top = min(top, c.Rank)
	}
	lower := make([]float64, len(peers))
	extra := make([]int, len(peers))
	for i, p := range peers {
		urgent, other := 0, 0
		for c, class := range o.view.Classes {
			if class.Rank == top {
				urgent += Counts(p.wait).at(c)
			} else {
				other += Counts(p.run).at(c)
			}
		}
		need := sum(p.run) + urgent - other/o.policy.Near
		if extra[i] = max(0, need-t.holder[p]); extra[i] == 0 || urgent == 0 {
			extra[i] = 0
			lower[i] = float64(max(0, min(other, t.holder[p])))
		}
	}
	for i, k := range divide(min(sum(extra), int(total(lower))), lower) {
		t.holder[peers[i]] -= k
	}
	left := int(total(lower))
	for i, p := range peers {
		k := min(extra[i], left)
		t.holder[p] += k
		left -= k
	}
}

func total(xs []float64) float64 {
	n := 0.0
	for _, x := range xs {
		n += x
	}
	return n
}
