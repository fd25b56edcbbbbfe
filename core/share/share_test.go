package share

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// roundingError bounds the error of a sum in these tests.
const roundingError = 1e-6

// drawAccounts draws accounts, some of them without a weight or work.
func drawAccounts(t *rapid.T) []Account {
	amount := rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 1000))
	weight := rapid.OneOf(rapid.Just(0.0), rapid.Just(1.0), rapid.Float64Range(0.01, 100))
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Account {
		return Account{weight.Draw(t, "weight"), amount.Draw(t, "served"), amount.Draw(t, "running"), amount.Draw(t, "waiting")}
	}), 1, 30).Draw(t, "accounts")
}

// shareOf returns the weighted share of an account in an amount.
func shareOf(demands []Demand, i int, total float64) float64 {
	var sum float64
	for _, d := range demands {
		sum += d.Weight
	}
	if sum == 0 {
		return total / float64(len(demands))
	}
	return total * demands[i].Weight / sum
}

// TestFillLeavesNothingUnused guards against capacity that stays free while an account wants it, and against more than there is.
func TestFillLeavesNothingUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 20_000).Draw(t, "capacity")
		demands := drawDemands(t)
		var sum, wanted float64
		for i, f := range Fill(capacity, demands) {
			sum, wanted = sum+f, wanted+demands[i].Amount
			if f < 0 || f > demands[i].Amount {
				t.Fatalf("demand %v gets %v", demands[i], f)
			}
		}
		if d := sum - min(capacity, wanted); max(d, -d) > roundingError {
			t.Fatalf("%v is divided, of %v that is wanted and %v that there is", sum, wanted, capacity)
		}
	})
}

// drawDemands draws the demands of drawAccounts.
func drawDemands(t *rapid.T) []Demand {
	var demands []Demand
	for _, a := range drawAccounts(t) {
		demands = append(demands, Demand{a.Weight, a.Served + a.Running + a.Waiting})
	}
	return demands
}

// TestFloodTakesNoShare guards against an account that gets less than its weighted share because another demands more.
func TestFloodTakesNoShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 20_000).Draw(t, "capacity")
		demands := drawDemands(t)
		flood := rapid.IntRange(0, len(demands)-1).Draw(t, "flood")
		before := Fill(capacity, demands)
		demands[flood].Amount += rapid.Float64Range(0, 1e6).Draw(t, "more")
		after := Fill(capacity, demands)
		for i := range demands {
			if i != flood && after[i] > before[i]+roundingError {
				t.Fatalf("account %d gets more, %v instead of %v, as another demands more", i, after[i], before[i])
			}
			if owed := min(demands[i].Amount, shareOf(demands, i, capacity)); after[i] < owed-roundingError {
				t.Fatalf("account %d gets %v instead of %v", i, after[i], owed)
			}
		}
		if after[flood] < before[flood]-roundingError {
			t.Fatalf("the account gets %v instead of %v for demanding more", after[flood], before[flood])
		}
	})
}

// TestStartableKeepsShares guards the same for the work that may start: what waits in one account takes nothing from the share of
// another, and the accounts together may use all of the room.
func TestStartableKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(0, 5000).Draw(t, "room")
		accounts := drawAccounts(t)
		flood := rapid.IntRange(0, len(accounts)-1).Draw(t, "flood")
		accounts[flood].Waiting += rapid.Float64Range(0, 1e6).Draw(t, "more")
		demands, total := make([]Demand, len(accounts)), room
		var waiting, sum float64
		for i, a := range accounts {
			demands[i] = Demand{a.Weight, a.Served + a.Running + a.Waiting}
			total += a.Served + a.Running
			waiting += a.Waiting
		}
		for i, s := range Startable(accounts, room) {
			a := accounts[i]
			owed := min(a.Waiting, max(shareOf(demands, i, total)-a.Served-a.Running, 0))
			if s < owed-total*tolerance-roundingError || s > a.Waiting {
				t.Fatalf("account %d may start %v, is owed %v, and %v waits", i, s, owed, a.Waiting)
			}
			sum += s
		}
		if sum < min(room, waiting)-total*tolerance*float64(len(accounts))-roundingError {
			t.Fatalf("%v may start, although %v waits and there is room for %v", sum, waiting, room)
		}
	})
}

// TestWindowForgets guards against work that counts for longer than the window, or is lost within it.
func TestWindowForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		var at, works []int64
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, WindowMs/4).Draw(t, "pause")
			at, works = append(at, now), append(works, rapid.Int64Range(0, 100).Draw(t, "work"))
			w.Add(works[len(works)-1], now)
			var least, most int64
			for i, a := range at {
				if now-a < WindowMs-partMs {
					least += works[i]
				}
				if now-a < WindowMs {
					most += works[i]
				}
			}
			if sum := w.Sum(now); sum < least || sum > most {
				t.Fatalf("%d within the window instead of %d to %d", sum, least, most)
			}
		}
		assert.Equal(t, w.Sum(now+2*WindowMs), int64(0))
	})
}
