// Package admis decides whether the share that a client account has of a pool can finish a further job while the job's end still
// has value. It does no I/O and reads no clock.
package admis

import "math"

// Resources of a pool.
const (
	CPU       = iota // cores, and core-milliseconds of work
	Memory           // MB, and MB-milliseconds of work
	resources        // number of resources
)

// Amount is an amount of each resource.
type Amount [resources]float64

// Account is a client account with work in a pool.
type Account struct {
	Weight  float64 // its share of the pool, relative to the other accounts; without one it gets what they leave
	Backlog Amount  // work that is accepted and not finished
	// Arriving is the work that is accepted per millisecond at present. An account whose work is done as it arrives has next to no
	// backlog, and yet needs its part of the pool for as long as that goes on.
	Arriving Amount
}

// needWithin returns the work that the account may want done within a time, in ms.
func (a *Account) needWithin(r int, ms float64) float64 { return a.Backlog[r] + a.Arriving[r]*ms }

// Pool is a pool with the accounts that have work there. They share it by weighted max-min: each gets capacity in proportion to its
// weight, and what one does not need goes to the others.
type Pool struct {
	Capacity Amount  // cores and MB that the work may get; all above 0
	First    Account // work that is done before that of all accounts; its weight is not used
	Accounts []Account
}

// Job is a job that has not been accepted yet.
type Job struct {
	Account int    // index in Pool.Accounts
	Work    Amount // of all its items
	ChainMs float64
	LimitMs float64 // time from now within which its end has value
}

// Admit reports whether the share of a job's account can finish the job within its limit, after the work that the account has already.
// If it cannot, waitMs is the time after which it could, at the present rate of the account's share and provided that no further work of
// the account is accepted; it is infinite if the others leave nothing to an account without a weight. A job of an account without a
// backlog is always admitted: the share of a small account may be too little for any job within the limit, but it adds up between two.
func (p *Pool) Admit(j *Job) (waitMs float64, ok bool) {
	own := p.Accounts[j.Account].Backlog
	if own == (Amount{}) {
		return 0, true
	}
	for r := range resources {
		waitMs = max(waitMs, p.lateMs(r, j.Account, own[r]+j.Work[r], j.LimitMs))
		if own[r] > 0 { // the longest chain of the job may begin behind it only
			waitMs = max(waitMs, p.lateMs(r, j.Account, own[r], j.LimitMs-j.ChainMs))
		}
	}
	return waitMs, waitMs == 0
}

// lateMs returns by how much the share of an account takes longer than a time for an amount of its work, 0 if it does not.
func (p *Pool) lateMs(r, account int, work, withinMs float64) float64 {
	got := p.shareWithin(r, account, withinMs)
	switch {
	case work <= got:
		return 0
	case got <= 0:
		return math.Inf(1)
	}
	return withinMs * (work/got - 1)
}

// shareWithin returns the work that the share of an account can do within a time, if it has as much: by weighted max-min, what the
// others leave that need less than their share, in proportion to the weights of the rest.
func (p *Pool) shareWithin(r, account int, withinMs float64) float64 {
	weight := p.Accounts[account].Weight
	level := 0.0 // work per unit of weight
	for {
		left, sum := p.Capacity[r]*withinMs-p.First.needWithin(r, withinMs), weight
		for i := range p.Accounts {
			a := &p.Accounts[i]
			switch need := a.needWithin(r, withinMs); {
			case i == account || a.Weight <= 0 && weight > 0:
			case weight <= 0 || need <= a.Weight*level:
				left -= need
			default:
				sum += a.Weight
			}
		}
		if weight <= 0 {
			return left
		}
		// Each round finds further accounts that need less than the share of the last one.
		if next := left / sum; next > level {
			level = next
			continue
		}
		return level * weight
	}
}
