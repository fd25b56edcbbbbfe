package spec

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"sassafrasvalve/core/hint"
)

// Ranges of the numbers in a configuration.
const (
	MaxPoolSize    = 10000          // VMs; the target is 1,100 in the whole fleet
	MaxSlots       = 1024           // requests in progress per worker
	MaxConnections = 65535          // open connections per worker
	MaxRank        = 100            // of a class
	MaxClassWait   = 24 * time.Hour // of a class
	MaxWeight      = 1000           // of a tenant
	MaxRate        = 100000         // requests a second of a tenant
	MaxBurst       = 1000000        // requests of a tenant
	MaxElements    = 1000           // of each kind; the target is 29 pools and 25 tenants
	MaxNameLength  = 63             // bytes; names appear in headers and metrics
)

// shareTolerance absorbs the rounding of a sum of shares such as 0.1 + 0.2.
const shareTolerance = 1e-9

// nameFormat holds the characters that headers, URLs and metrics carry unescaped.
var nameFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Validate returns every problem of a configuration, ordered by path.
// A configuration without problems can be kept in full.
func Validate(f Fleet) []Problem {
	c := &checker{fleet: f, regions: regionsOf(f)}
	c.pools()
	c.services()
	c.classes()
	c.tenants()
	sortProblems(c.problems)
	return c.problems
}

// checker collects the problems of a configuration.
type checker struct {
	fleet    Fleet
	regions  []string // named ones
	problems []Problem
}

// add notes a problem at a path. The related paths hold the other values involved.
func (c *checker) add(path, message string, related ...string) {
	c.problems = append(c.problems, Problem{Path: path, Message: message, Related: related})
}

// element reports on one element under its kind and name.
type element struct {
	*checker
	kind, name string
}

// at returns the path of a field.
func (e element) at(field string) string { return PathOf(e.kind, e.name, field) }

// bad notes a problem of a field.
func (e element) bad(field, message string, related ...string) {
	e.add(e.at(field), message, related...)
}

// whole checks that a whole number is 0 to high.
func (e element) whole(field string, v, high int) bool {
	if v < 0 || v > high {
		e.bad(field, fmt.Sprintf("%d is out of range: set it to 0 to %d", v, high))
		return false
	}
	return true
}

// number checks that a number is 0 to high.
func (e element) number(field string, v, high float64) bool {
	if math.IsNaN(v) || v < 0 || v > high {
		e.bad(field, fmt.Sprintf("%v is out of range: set it to 0 to %v", v, high))
		return false
	}
	return true
}

// names checks the form of the names of a kind and that each is used once.
func (c *checker) names(kind string, names []string) {
	if len(names) > MaxElements {
		c.add(kind, fmt.Sprintf("%d elements are too many: configure at most %d", len(names), MaxElements))
	}
	seen := map[string]bool{}
	for _, n := range names {
		switch {
		case n == "":
			c.add(kind, "an element has no name: give each a name")
		case len(n) > MaxNameLength || !nameFormat.MatchString(n):
			c.add(PathOf(kind, n, ""), fmt.Sprintf("the name is not valid: use up to %d ASCII letters, digits, \".\", \"_\" and \"-\", "+
				"a letter or digit first", MaxNameLength))
		case seen[n]:
			c.add(PathOf(kind, n, ""), "the name is used more than once: rename one of them")
		}
		seen[n] = true
	}
}

// namesOf returns the names of the elements.
func namesOf[T any](list []T, name func(T) string) []string {
	out := make([]string, 0, len(list))
	for _, e := range list {
		out = append(out, name(e))
	}
	return out
}

// regionsOf returns the regions that pools name, sorted.
func regionsOf(f Fleet) []string {
	var out []string
	for _, p := range f.Pools {
		if p.Region != "" && !slices.Contains(out, p.Region) {
			out = append(out, p.Region)
		}
	}
	slices.Sort(out)
	return out
}

// regionOf returns the region of a pool. With one region in the fleet, pools need not name it.
func (c *checker) regionOf(p Pool) string {
	if p.Region == "" && len(c.regions) == 1 {
		return c.regions[0]
	}
	return p.Region
}

// pools checks every pool and that each region has at most one spare pool.
func (c *checker) pools() {
	names := namesOf(c.fleet.Pools, func(p Pool) string { return p.Name })
	c.names(KindPools, names)
	spares := map[string][]string{}
	for _, p := range c.fleet.Pools {
		c.pool(p)
		if p.Spare {
			spares[c.regionOf(p)] = append(spares[c.regionOf(p)], p.Name)
		}
	}
	for _, list := range spares {
		for _, name := range list[1:] {
			if name == list[0] {
				continue // reported as a duplicate name
			}
			c.add(PathOf(KindPools, name, "Spare"), fmt.Sprintf("a second spare pool in the region of %q: "+
				"repair takes VMs from one, so keep Spare on one of them", list[0]), PathOf(KindPools, list[0], "Spare"))
		}
	}
}

// pool checks one pool.
func (c *checker) pool(p Pool) {
	e := element{c, KindPools, p.Name}
	if e.whole("Size", p.Size, MaxPoolSize) && p.Size == 0 {
		services := namesOf(c.fleet.ServicesOn(p.Name), func(s Service) string { return s.Name })
		switch {
		case p.Spare:
			e.bad("Size", "a spare pool of size 0 has no VM to replace a failed one: set Size to at least 1 or remove Spare", e.at("Spare"))
		case len(services) > 0:
			e.bad("Size", fmt.Sprintf("the size is 0 but services are placed on the pool (%s): set Size to at least 1 or move them",
				strings.Join(services, ", ")))
		}
	}
	slots := e.whole("Slots", p.Slots, MaxSlots)
	if e.whole("Connections", p.Connections, MaxConnections) && slots {
		n := Normalize(Fleet{Pools: []Pool{p}}).Pools[0]
		if n.Connections < n.Slots {
			e.bad("Connections", fmt.Sprintf("%d connections cannot carry %d slots: set Connections to at least Slots",
				n.Connections, n.Slots), e.at("Slots"))
		}
	}
	if p.Region == "" && len(c.regions) > 1 {
		e.bad("Region", fmt.Sprintf("the fleet has several regions (%s), so each pool names its own: set Region",
			strings.Join(c.regions, ", ")))
	}
	if p.Region != "" && !nameFormat.MatchString(p.Region) {
		e.bad("Region", fmt.Sprintf("%q is not a valid region name: use ASCII letters, digits, \".\", \"_\" and \"-\"", p.Region))
	}
}

// services checks every service and its budget.
func (c *checker) services() {
	c.names(KindServices, namesOf(c.fleet.Services, func(s Service) string { return s.Name }))
	pools := namesOf(c.fleet.Pools, func(p Pool) string { return p.Name })
	for _, s := range c.fleet.Services {
		e := element{c, KindServices, s.Name}
		pool, ok := c.fleet.Pool(s.Pool)
		switch {
		case s.Pool == "":
			e.bad("Pool", "the service is placed on no pool: set Pool")
		case !ok:
			e.bad("Pool", fmt.Sprintf("pool %q does not exist: %s", s.Pool, hint.Suggest(s.Pool, pools)), KindPools)
		}
		if e.budgetRanges(s.Budget) && ok && pool.Size > 0 {
			e.budget(s.Budget, pool)
		}
	}
}

// budgetRanges checks each number of a budget by itself.
func (e element) budgetRanges(b Budget) bool {
	ok := e.whole("Budget.MinAvailable", b.MinAvailable, MaxPoolSize)
	ok = e.whole("Budget.MinAvailablePercent", b.MinAvailablePercent, 100) && ok
	ok = e.whole("Budget.MaxUnavailable", b.MaxUnavailable, MaxPoolSize) && ok
	return e.whole("Budget.MaxUnavailablePerDC", b.MaxUnavailablePerDC, MaxPoolSize) && ok
}

// budget checks that the budget can be kept by its pool and leaves room to drain a VM.
// A service that cannot spare a VM could never be maintained.
func (e element) budget(b Budget, p Pool) {
	related := []string{PathOf(KindPools, p.Name, "Size")}
	if b.MinAvailable > p.Size {
		e.bad("Budget.MinAvailable", fmt.Sprintf("%d VMs can never be active: pool %q has %d; set MinAvailable to at most %d or enlarge the pool",
			b.MinAvailable, p.Name, p.Size, p.Size-1), related...)
	}
	if b.MaxUnavailable > 0 {
		related = append(related, e.at("Budget.MaxUnavailable"))
	}
	if b.MinAvailable == p.Size {
		e.bad("Budget.MinAvailable", fmt.Sprintf("no VM of the %d in pool %q can ever be drained%s: set MinAvailable to at most %d or enlarge the pool",
			p.Size, p.Name, b.despite(), p.Size-1), related...)
	}
	if b.MinAvailablePercent > 0 && (Budget{MinAvailablePercent: b.MinAvailablePercent}).Room(p.Size) < 1 {
		e.bad("Budget.MinAvailablePercent", fmt.Sprintf("%d%% of the %d VMs in pool %q, rounded up, is all of them, so none can ever be drained%s: "+
			"set at most %d or enlarge the pool", b.MinAvailablePercent, p.Size, p.Name, b.despite(), 100*(p.Size-1)/p.Size), related...)
	}
}

// despite names the bound that promises drains which another bound forbids.
func (b Budget) despite() string {
	if b.MaxUnavailable == 0 {
		return ""
	}
	return fmt.Sprintf(", though MaxUnavailable allows %d", b.MaxUnavailable)
}

// classes checks every class, the sum of their shares and their ranks.
func (c *checker) classes() {
	c.names(KindClasses, namesOf(c.fleet.Classes, func(k Class) string { return k.Name }))
	sum, related := 0.0, []string(nil)
	for i, k := range c.fleet.Classes {
		c.class(k)
		if k.Share > 0 && k.Share <= 1 {
			sum += k.Share
			related = append(related, PathOf(KindClasses, k.Name, "Share"))
		}
		c.rank(k, c.fleet.Classes[:min(i, MaxElements)])
	}
	if sum > 1+shareTolerance {
		c.add(KindClasses, fmt.Sprintf("the shares add up to %.4g, more than the whole: lower them to at most 1 together", sum), related...)
	}
}

// class checks one class.
func (c *checker) class(k Class) {
	e := element{c, KindClasses, k.Name}
	e.whole("Rank", k.Rank, MaxRank)
	share := e.number("Share", k.Share, 1)
	if e.number("Ceiling", k.Ceiling, 1) && share && k.Ceiling > 0 {
		if k.Ceiling < k.Share {
			e.bad("Ceiling", fmt.Sprintf("the ceiling %v is below the guaranteed share %v: raise Ceiling or lower Share", k.Ceiling, k.Share), e.at("Share"))
		}
		e.ceiling(k)
	}
	if wait := time.Duration(k.MaxWait); wait < 0 || wait > MaxClassWait {
		e.bad("MaxWait", fmt.Sprintf("%v is out of range: set it to 0s to %v", wait, MaxClassWait))
	}
	e.finish(k)
}

// ceiling checks that a class may use at least one slot of every pool in use.
func (e element) ceiling(k Class) {
	for _, p := range Normalize(e.fleet).Pools {
		slots := p.Size * p.Slots
		if slots > 0 && k.Ceiling*float64(slots) < 1 && len(e.fleet.ServicesOn(p.Name)) > 0 {
			e.bad("Ceiling", fmt.Sprintf("%v of the %d slots of pool %q is less than one, so the class never runs there: raise Ceiling to at least %.2g",
				k.Ceiling, slots, p.Name, math.Ceil(100/float64(slots))/100),
				PathOf(KindPools, p.Name, "Size"), PathOf(KindPools, p.Name, "Slots"))
		}
	}
}

// finish checks the keys of deferrable work.
func (e element) finish(k Class) {
	if !k.Deferrable {
		if k.FinishBy != "" {
			e.bad("FinishBy", "only deferrable work has a finish deadline: set Deferrable = true or remove FinishBy", e.at("Deferrable"))
		}
		return
	}
	if k.FinishBy == "" {
		e.bad("FinishBy", "a deferrable class needs a finish deadline: set FinishBy, such as \"Sat 06:00\"", e.at("Deferrable"))
	} else if _, err := ParseFinish(k.FinishBy); err != nil {
		e.bad("FinishBy", err.Error()+": write it so")
	}
	if k.MaxWait > 0 {
		e.bad("MaxWait", "deferrable work is never refused for waiting too long: remove MaxWait; FinishBy bounds it", e.at("Deferrable"))
	}
}

// rank checks that the order of yielding between k and the classes before it is decided.
// Classes with a guaranteed share may have the same rank.
func (c *checker) rank(k Class, before []Class) {
	for _, o := range before {
		if o.Rank != k.Rank || o.Name == k.Name {
			continue
		}
		path := PathOf(KindClasses, k.Name, "Rank")
		others := func(field string) []string {
			return []string{PathOf(KindClasses, o.Name, "Rank"), PathOf(KindClasses, o.Name, field), PathOf(KindClasses, k.Name, field)}
		}
		switch {
		case o.Deferrable != k.Deferrable:
			c.add(path, fmt.Sprintf("rank %d is also that of class %q, but only one of them is deferrable: "+
				"give the deferrable class a larger rank", k.Rank, o.Name), others("Deferrable")...)
		case o.Share == 0 && k.Share == 0:
			c.add(path, fmt.Sprintf("rank %d is also that of class %q and neither has a share, so nothing decides which goes first: "+
				"give them different ranks or a share", k.Rank, o.Name), others("Share")...)
		}
	}
}

// tenants checks every tenant.
func (c *checker) tenants() {
	c.names(KindTenants, namesOf(c.fleet.Tenants, func(t Tenant) string { return t.Name }))
	for _, t := range c.fleet.Tenants {
		e := element{c, KindTenants, t.Name}
		e.whole("Weight", t.Weight, MaxWeight)
		e.number("Rate", t.Rate, MaxRate)
		if e.whole("Burst", t.Burst, MaxBurst) && t.Burst > 0 && t.Rate == 0 {
			e.bad("Burst", "a burst above no rate bounds nothing: set Rate or remove Burst", e.at("Rate"))
		}
	}
}
