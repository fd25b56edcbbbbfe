// Package share divides the capacity of a pool among client accounts while it does not suffice for all of their work: by weighted
// max-min fairness of the work that each account gets within a sliding window. The package does no I/O, and the caller passes the
// current time in local milliseconds.
package share

import (
	"cmp"
	"slices"
)

// tolerance is the part of a pool's work below which a difference counts as rounding.
const tolerance = 1e-9

// Demand is what one account asks for.
type Demand struct {
	Weight float64 // relative to those of the other demands; an account of weight 0 gets what they leave
	Amount float64 // in any unit, at least 0
}

// Fill divides a capacity among demands. Each account gets its demand or, if that is less, the same amount per weight as all others
// that get less than their demand. The result has the order of the demands, and its sum is the capacity or the sum of the demands,
// whichever is less.
func Fill(capacity float64, demands []Demand) []float64 {
	fills := make([]float64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	// The account that is satisfied first goes first, so that each later one shares what is left.
	slices.SortFunc(order, func(a, b int) int {
		x, y := &demands[a], &demands[b]
		if x.Weight == 0 || y.Weight == 0 {
			return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.Amount, y.Amount), cmp.Compare(a, b))
		}
		return cmp.Or(cmp.Compare(x.Amount/x.Weight, y.Amount/y.Weight), cmp.Compare(a, b))
	})
	weights := make([]float64, len(order)) // of an account and all later ones; subtracting from the sum would leave rounding errors
	for n, i := range slices.Backward(order) {
		weights[n] = demands[i].Weight
		if n+1 < len(order) {
			weights[n] += weights[n+1]
		}
	}
	for n, i := range order {
		d := &demands[i]
		part := 1 / float64(len(order)-n) // of accounts without a weight, once only these are left
		if d.Weight > 0 {
			part = d.Weight / weights[n]
		}
		fills[i] = max(min(d.Amount, capacity*part), 0)
		capacity -= fills[i]
	}
	return fills
}

// Account is the work of one account in a pool. Work is an amount of the account's dominant resource times milliseconds.
type Account struct {
	Weight  float64
	Served  float64 // work done within the window, here and in other pools
	Running float64 // work left in what runs now
	Waiting float64 // work in what could start now
}

// Startable returns for each account the work that may still start within its share, at most what waits. room is the work that the
// pool's free capacity can take. If that suffices for all that waits, all of it is within the shares. Otherwise the work served within
// the window, the running work and the room together are divided among the accounts, so that one which has got less than the others
// comes before them until it has caught up. The results may together exceed the room, as what others have got too much is not
// taken back.
func Startable(accounts []Account, room float64) []float64 {
	startable := make([]float64, len(accounts))
	demands := make([]Demand, len(accounts))
	var waiting float64
	total := room
	for i, a := range accounts {
		waiting += a.Waiting
		total += a.Served + a.Running
		demands[i] = Demand{a.Weight, a.Served + a.Running + a.Waiting}
		startable[i] = a.Waiting
	}
	if waiting <= room {
		return startable
	}
	for i, fill := range Fill(total, demands) {
		a := &accounts[i]
		startable[i] = min(fill-a.Served-a.Running, a.Waiting)
		if startable[i] <= total*tolerance {
			startable[i] = 0
		}
	}
	return startable
}
