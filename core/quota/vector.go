package quota

import (
	"math"

	"sassafrasvalve/core/jobs"
)

// unlimited stands for the limit of a resource without one. Sums of a few such amounts don't overflow.
const unlimited = math.MaxInt64 / 8

// vector is an amount with one element for each resource.
type vector [3]int64

func toVector(a jobs.Amount) vector { return vector{a.CPU, a.MemMB, a.GPU} }

func (v vector) amount() jobs.Amount { return jobs.Amount{CPU: v[0], MemMB: v[1], GPU: v[2]} }

// toLimit returns a limit in which a resource without one is unlimited.
func toLimit(a jobs.Amount) vector {
	v := toVector(a)
	for r := range v {
		if v[r] == 0 {
			v[r] = unlimited
		}
	}
	return v
}

// limitAmount returns the limit as it is configured: 0 means no limit.
func (v vector) limitAmount() jobs.Amount {
	for r := range v {
		if v[r] == unlimited {
			v[r] = 0
		}
	}
	return v.amount()
}

func (v vector) add(o vector) vector {
	for r := range v {
		v[r] += o[r]
	}
	return v
}

func (v vector) sub(o vector) vector {
	for r := range v {
		v[r] -= o[r]
	}
	return v
}

func (v vector) min(o vector) vector {
	for r := range v {
		v[r] = min(v[r], o[r])
	}
	return v
}

func (v vector) max(o vector) vector {
	for r := range v {
		v[r] = max(v[r], o[r])
	}
	return v
}

func (v vector) times(n int64) vector {
	for r := range v {
		v[r] *= n
	}
	return v
}

// within reports whether v is at most bound in each resource that has a limit.
func (v vector) within(bound, limit vector) bool {
	for r := range v {
		if limit[r] != unlimited && v[r] > bound[r] {
			return false
		}
	}
	return true
}

// below reports whether v is below o in a resource.
func (v vector) below(o vector) bool { return v != v.max(o) }

// hasLimit reports whether a limit limits any resource.
func (v vector) hasLimit() bool { return v != vector{unlimited, unlimited, unlimited} }
