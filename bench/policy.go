package bench

import (
	"fmt"
	"time"

	"sassafrasvalve/core/slots"
)

// Kind is the method by which slots are divided among the entries.
type Kind int

// Kinds of policies.
const (
	KindLeases  Kind = iota // slots.Owner and slots.Holder
	KindStatic              // slots.Holder without leases: home slots only
	KindCentral             // one queue per pool for all entries, without message delay
	KindRandom              // no slots; each entry sends at once to a random worker, which queues
)

// Policy is a method to divide slots with its settings.
type Policy struct {
	Name  string
	Kind  Kind
	Slots slots.Policy
	// Exact rounds the guaranteed share of a class by its slots in the whole pool, instead of rounding it up at each
	// entry.
	Exact bool
}

// Policies returns the reference policies fifo, static and central, and the versions of the policy with leases.
func Policies() []Policy {
	const ms = time.Millisecond
	return []Policy{
		{Name: "fifo", Kind: KindRandom},
		{Name: "static", Kind: KindStatic},
		{Name: "central", Kind: KindCentral},
		{Name: "demand", Slots: slots.Policy{Budget: -1, NoUrgent: true, NoRecall: true, NoReserve: true, NoPush: true, Slow: 250 * ms, Fast: 50 * ms, Gap: 10 * ms}},
		{Name: "slow", Slots: slots.Policy{Budget: -1, NoUrgent: true, NoReserve: true, NoPush: true, Slow: 250 * ms, Fast: 250 * ms, Gap: 10 * ms}},
		{Name: "recall", Slots: slots.Policy{Budget: -1, NoUrgent: true, NoReserve: true, NoPush: true, Slow: 250 * ms, Fast: 50 * ms, Gap: 10 * ms}},
		{Name: "reserve", Slots: slots.Policy{Budget: -1, NoUrgent: true, NoPush: true, Slow: 250 * ms, Fast: 50 * ms, Gap: 10 * ms}},
		{Name: "push", Slots: slots.Policy{Budget: -1, NoUrgent: true, Slow: 250 * ms}},
		{Name: "urgent", Slots: slots.Policy{Budget: -1, Slow: 250 * ms}},
		{Name: "calm", Slots: slots.Policy{Budget: -1, Fast: 250 * ms}},
		{Name: "paced", Slots: slots.Policy{}},
		{Name: "exact", Exact: true},
	}
}

func policy(name string) (Policy, error) {
	var names []string
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Policy{}, fmt.Errorf("policy %q does not exist; there are %v", name, names)
}
