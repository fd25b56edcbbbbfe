package quota

import (
	"cmp"
	"slices"
)

// claimant is a shard whose waiting items take part in a division.
type claimant struct {
	part  *part
	index int
	items int64 // that it still wants
}

// divide sets the targets of an account: what each shard would have if all allowances could change at once. Each keeps what it
// uses. Waiting items get the rest in equal numbers, then in equal amounts, up to what the shards want. Half of what is left is
// spread evenly, and three eighths by what the shards want, so that a peak phase that has begun goes on while there is no allocator. The
// last eighth stays with the allocator, where the next report that wants it gets it at once; taking an allowance back needs two
// reports of the shard. A shard without a recent report keeps all that it is counted at.
func (a *Allocator) divide(acc *account, limit vector, now int64) {
	acc.targets = append(acc.targets[:0], make([]vector, len(acc.parts))...)
	rest, heard := limit, int64(0)
	a.open = a.open[:0]
	for i := range acc.parts {
		p := &acc.parts[i]
		acc.targets[i] = a.ceiling(acc, i)
		recent := a.sources[i].heard(recentMs, now)
		if recent {
			acc.targets[i] = p.use.max(a.sources[i].unknown)
			heard++
		}
		rest = rest.sub(acc.targets[i])
		if recent && p.want != p.use {
			a.open = append(a.open, claimant{part: p, index: i, items: p.waitingItems(limit)})
		}
	}
	rest = rest.max(vector{})
	rest = acc.divideItems(a.open, rest, limit)
	for r := range rest {
		if limit[r] != unlimited {
			rest[r] = acc.divideAmount(a.open, r, rest[r])
		}
	}
	if now >= acc.idleAt {
		return
	}
	var wanted vector
	for i := range acc.parts {
		if a.sources[i].heard(recentMs, now) {
			wanted = wanted.add(acc.parts[i].want)
		}
	}
	for i := range acc.parts {
		if !a.sources[i].heard(recentMs, now) {
			continue
		}
		for r := range rest {
			acc.targets[i][r] += rest[r] / (2 * heard)
			if limit[r] != unlimited && wanted[r] > 0 {
				part := float64(acc.parts[i].want[r]) / float64(wanted[r])
				acc.targets[i][r] += int64(float64(rest[r]) * wantPart * part)
			}
		}
	}
}

// wantPart is the part of what is left that is spread by what the shards want.
const wantPart = 3.0 / 8

// waitingItems returns the number of items of the size of the next one that a shard waits for, 0 if the size is not known.
func (p *part) waitingItems(limit vector) int64 {
	n := int64(0)
	for r := range p.item {
		if limit[r] != unlimited && p.item[r] > 0 {
			n = max(n, (p.want[r]-p.use[r]+p.item[r]-1)/p.item[r])
		}
	}
	return n
}

// divideItems gives each shard that waits the same number of whole items, and what is left of these to those whose allowances have
// not risen for longest. Parts of items would leave an account below its limit without a start. It returns what is left.
func (acc *account) divideItems(open []claimant, rest, limit vector) vector {
	take := func(c *claimant, n int64) {
		amount := c.part.item.times(n)
		acc.targets[c.index] = acc.targets[c.index].add(amount)
		rest = rest.sub(amount)
		c.items -= n
	}
	for {
		var sum vector
		least := int64(0)
		for i := range open {
			if open[i].items > 0 {
				sum = sum.add(open[i].part.item)
				least = max(least, open[i].items)
			}
		}
		for r := range sum {
			if limit[r] != unlimited && sum[r] > 0 {
				least = min(least, rest[r]/sum[r])
			}
		}
		if least == 0 {
			break
		}
		for i := range open {
			if n := min(least, open[i].items); n > 0 {
				take(&open[i], n)
			}
		}
	}
	slices.SortFunc(open, func(x, y claimant) int {
		return cmp.Or(cmp.Compare(x.part.raisedAt, y.part.raisedAt), cmp.Compare(x.index, y.index))
	})
	for i := range open {
		if open[i].items > 0 && open[i].part.item.within(rest, limit) {
			take(&open[i], 1)
		}
	}
	return rest
}

// divideAmount gives shards that wait equal parts of a resource, up to what they want. It returns what is left.
func (acc *account) divideAmount(open []claimant, r int, rest int64) int64 {
	missing := func(c claimant) int64 { return max(0, c.part.want[r]-acc.targets[c.index][r]) }
	slices.SortFunc(open, func(x, y claimant) int {
		return cmp.Or(cmp.Compare(missing(x), missing(y)), cmp.Compare(x.index, y.index))
	})
	for i, c := range open {
		n := min(missing(c), rest/int64(len(open)-i))
		acc.targets[c.index][r] += n
		rest -= n
	}
	return rest
}
