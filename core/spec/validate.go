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

// Upper bounds of the values in a configuration.
const (
	MaxPoolSize    = 10000          // VMs; the design target is 1,100 in the whole fleet
	MaxSlots       = 1024           // requests in progress per worker
	MaxConnections = 65535          // open connections per worker
	MaxRank        = 100            // of a class
	MaxClassWait   = 24 * time.Hour // of a class
	MaxWeight      = 1000           // of a tenant
	MaxRate        = 100000         // requests per second of a tenant
	MaxBurst       = 1000000        // requests of a tenant
	MaxKeys        = 100            // API keys of a tenant; a change of keys needs two
	MaxAmount      = 1000000000     // thousandths of a core, MB or GPUs of a tenant
	MaxElements    = 1000           // of each kind; the design target is 29 pools and 25 tenants
	MaxNameLength  = 63             // bytes; names appear in headers and metrics
)

// shareTolerance absorbs the rounding of a sum of shares such as 0.1 + 0.2.
const shareTolerance = 1e-9

// nameFormat allows only characters that need no escaping in headers, URLs and metrics.
var nameFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Validate returns all problems of a configuration, sorted by path.
// If there are none, all guarantees of the configuration can be met at the same time.
func Validate(f Fleet) []Problem {
	c := &checker{fleet: f, regions: regionsOf(f)}
	c.checkPools()
	c.checkServices()
	c.checkClasses()
	c.checkTenants()
	sortProblems(c.problems)
	return c.problems
}

// checker collects the problems of a configuration.
type checker struct {
	fleet    Fleet
	regions  []string // regions that pools name, sorted
	problems []Problem
}

// add records a problem at a path. related are the paths of the other values involved.
func (c *checker) add(path, message string, related ...string) {
	c.problems = append(c.problems, Problem{Path: path, Message: message, Related: related})
}

// elementChecker checks one element, identified by its kind and name.
type elementChecker struct {
	*checker
	kind, name string
}

// path returns the path of a field of the element.
func (e elementChecker) path(field string) string { return PathOf(e.kind, e.name, field) }

// report records a problem of a field.
func (e elementChecker) report(field, message string, related ...string) {
	e.add(e.path(field), message, related...)
}

// checkInt reports a value outside 0 to high. It returns whether the value is within.
func (e elementChecker) checkInt(field string, v, high int) bool {
	if v < 0 || v > high {
		e.report(field, fmt.Sprintf("%d is out of range: set it to 0 to %d", v, high))
		return false
	}
	return true
}

// checkFloat reports NaN or a value outside 0 to high. It returns whether the value is within.
func (e elementChecker) checkFloat(field string, v, high float64) bool {
	if math.IsNaN(v) || v < 0 || v > high {
		e.report(field, fmt.Sprintf("%v is out of range: set it to 0 to %v", v, high))
		return false
	}
	return true
}

// checkNames checks the number of elements of a kind, the format of their names, and that each name is used once.
func (c *checker) checkNames(kind string, names []string) {
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

// namesOf returns the names of the elements in order.
func namesOf[T any](list []T, name func(T) string) []string {
	out := make([]string, 0, len(list))
	for _, e := range list {
		out = append(out, name(e))
	}
	return out
}

// regionsOf returns the distinct regions that pools name, sorted.
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

// regionOf returns the region of a pool. A pool may omit it if the fleet has only one region.
func (c *checker) regionOf(p Pool) string {
	if p.Region == "" && len(c.regions) == 1 {
		return c.regions[0]
	}
	return p.Region
}

// checkPools checks all pools and that each region has at most one spare pool.
func (c *checker) checkPools() {
	names := namesOf(c.fleet.Pools, func(p Pool) string { return p.Name })
	c.checkNames(KindPools, names)
	spares := map[string][]string{}
	for _, p := range c.fleet.Pools {
		c.checkPool(p)
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

// checkPool checks the size, the limits and the region of one pool.
func (c *checker) checkPool(p Pool) {
	e := elementChecker{c, KindPools, p.Name}
	if e.checkInt("Size", p.Size, MaxPoolSize) && p.Size == 0 {
		services := namesOf(c.fleet.ServicesOn(p.Name), func(s Service) string { return s.Name })
		switch {
		case p.Spare:
			e.report("Size", "a spare pool of size 0 has no VM to replace a failed one: set Size to at least 1 or remove Spare", e.path("Spare"))
		case len(services) > 0:
			e.report("Size", fmt.Sprintf("the size is 0 but services are placed on the pool (%s): set Size to at least 1 or move them",
				strings.Join(services, ", ")))
		}
	}
	slots := e.checkInt("Slots", p.Slots, MaxSlots)
	if e.checkInt("Connections", p.Connections, MaxConnections) && slots {
		n := Normalize(Fleet{Pools: []Pool{p}}).Pools[0]
		if n.Connections < n.Slots {
			e.report("Connections", fmt.Sprintf("%d connections cannot carry %d slots: set Connections to at least Slots",
				n.Connections, n.Slots), e.path("Slots"))
		}
	}
	if p.Region == "" && len(c.regions) > 1 {
		e.report("Region", fmt.Sprintf("the fleet has several regions (%s), so each pool names its own: set Region",
			strings.Join(c.regions, ", ")))
	}
	if p.Region != "" && !nameFormat.MatchString(p.Region) {
		e.report("Region", fmt.Sprintf("%q is not a valid region name: use ASCII letters, digits, \".\", \"_\" and \"-\"", p.Region))
	}
}

// checkServices checks the pool and the budget of each service.
func (c *checker) checkServices() {
	c.checkNames(KindServices, namesOf(c.fleet.Services, func(s Service) string { return s.Name }))
	pools := namesOf(c.fleet.Pools, func(p Pool) string { return p.Name })
	for _, s := range c.fleet.Services {
		e := elementChecker{c, KindServices, s.Name}
		pool, ok := c.fleet.Pool(s.Pool)
		switch {
		case s.Pool == "":
			e.report("Pool", "the service is placed on no pool: set Pool")
		case !ok:
			e.report("Pool", fmt.Sprintf("pool %q does not exist: %s", s.Pool, hint.Suggest(s.Pool, pools)), KindPools)
		}
		if e.checkBudgetRanges(s.Budget) && ok && pool.Size > 0 {
			e.checkBudget(s.Budget, pool)
		}
	}
}

// checkBudgetRanges checks the range of each value of a budget. It returns whether all are within.
func (e elementChecker) checkBudgetRanges(b Budget) bool {
	ok := e.checkInt("Budget.MinAvailable", b.MinAvailable, MaxPoolSize)
	ok = e.checkInt("Budget.MinAvailablePercent", b.MinAvailablePercent, 100) && ok
	ok = e.checkInt("Budget.MaxUnavailable", b.MaxUnavailable, MaxPoolSize) && ok
	return e.checkInt("Budget.MaxUnavailablePerDC", b.MaxUnavailablePerDC, MaxPoolSize) && ok
}

// checkBudget checks that the pool can meet the budget and still drain at least one VM.
// The VMs of a service that can never lose one could not be maintained.
func (e elementChecker) checkBudget(b Budget, p Pool) {
	related := []string{PathOf(KindPools, p.Name, "Size")}
	if b.MinAvailable > p.Size {
		e.report("Budget.MinAvailable", fmt.Sprintf("%d VMs can never be active: pool %q has %d; set MinAvailable to at most %d or enlarge the pool",
			b.MinAvailable, p.Name, p.Size, p.Size-1), related...)
	}
	if b.MaxUnavailable > 0 {
		related = append(related, e.path("Budget.MaxUnavailable"))
	}
	if b.MinAvailable == p.Size {
		e.report("Budget.MinAvailable", fmt.Sprintf("no VM of the %d in pool %q can ever be drained%s: set MinAvailable to at most %d or enlarge the pool",
			p.Size, p.Name, b.contradictedBound(), p.Size-1), related...)
	}
	if b.MinAvailablePercent > 0 && (Budget{MinAvailablePercent: b.MinAvailablePercent}).MaxOut(p.Size) < 1 {
		e.report("Budget.MinAvailablePercent", fmt.Sprintf("%d%% of the %d VMs in pool %q, rounded up, is all of them, so none can ever be drained%s: "+
			"set at most %d or enlarge the pool", b.MinAvailablePercent, p.Size, p.Name, b.contradictedBound(), 100*(p.Size-1)/p.Size), related...)
	}
}

// contradictedBound returns the part of a message that names MaxUnavailable, if it allows drains that another bound
// of the budget forbids.
func (b Budget) contradictedBound() string {
	if b.MaxUnavailable == 0 {
		return ""
	}
	return fmt.Sprintf(", though MaxUnavailable allows %d", b.MaxUnavailable)
}

// checkClasses checks each class, the sum of the shares and the ranks.
func (c *checker) checkClasses() {
	c.checkNames(KindClasses, namesOf(c.fleet.Classes, func(k Class) string { return k.Name }))
	sum, related := 0.0, []string(nil)
	for i, k := range c.fleet.Classes {
		c.checkClass(k)
		if k.Share > 0 && k.Share <= 1 {
			sum += k.Share
			related = append(related, PathOf(KindClasses, k.Name, "Share"))
		}
		c.checkRank(k, c.fleet.Classes[:min(i, MaxElements)])
	}
	if sum > 1+shareTolerance {
		c.add(KindClasses, fmt.Sprintf("the shares add up to %.4g, more than the whole: lower them to at most 1 together", sum), related...)
	}
}

// checkClass checks the values of one class.
func (c *checker) checkClass(k Class) {
	e := elementChecker{c, KindClasses, k.Name}
	e.checkInt("Rank", k.Rank, MaxRank)
	share := e.checkFloat("Share", k.Share, 1)
	if e.checkFloat("Ceiling", k.Ceiling, 1) && share && k.Ceiling > 0 {
		if k.Ceiling < k.Share {
			e.report("Ceiling", fmt.Sprintf("the ceiling %v is below the guaranteed share %v: raise Ceiling or lower Share", k.Ceiling, k.Share), e.path("Share"))
		}
		e.checkCeiling(k)
	}
	if wait := time.Duration(k.MaxWait); wait < 0 || wait > MaxClassWait {
		e.report("MaxWait", fmt.Sprintf("%v is out of range: set it to 0s to %v", wait, MaxClassWait))
	}
	e.checkDeferrable(k)
}

// checkCeiling checks that a class may use at least one slot of each pool that has services.
func (e elementChecker) checkCeiling(k Class) {
	for _, p := range Normalize(e.fleet).Pools {
		slots := p.Size * p.Slots
		if slots > 0 && k.Ceiling*float64(slots) < 1 && len(e.fleet.ServicesOn(p.Name)) > 0 {
			e.report("Ceiling", fmt.Sprintf("%v of the %d slots of pool %q is less than one, so the class never runs there: raise Ceiling to at least %.2g",
				k.Ceiling, slots, p.Name, math.Ceil(100/float64(slots))/100),
				PathOf(KindPools, p.Name, "Size"), PathOf(KindPools, p.Name, "Slots"))
		}
	}
}

// checkDeferrable checks the fields that only deferrable classes may have or lack.
func (e elementChecker) checkDeferrable(k Class) {
	if !k.Deferrable {
		if k.FinishBy != "" {
			e.report("FinishBy", "only deferrable work has a finish deadline: set Deferrable = true or remove FinishBy", e.path("Deferrable"))
		}
		return
	}
	if k.FinishBy == "" {
		e.report("FinishBy", "a deferrable class needs a finish deadline: set FinishBy, such as \"Sat 06:00\"", e.path("Deferrable"))
	} else if _, err := ParseWeeklyDeadline(k.FinishBy); err != nil {
		e.report("FinishBy", err.Error()+": write it so")
	}
	if k.MaxWait > 0 {
		e.report("MaxWait", "deferrable work is never refused for waiting too long: remove MaxWait; FinishBy bounds it", e.path("Deferrable"))
	}
}

// checkRank checks that the priority between k and each of the classes before it is defined.
// Classes may have the same rank if at least one of them has a guaranteed share and both or neither are deferrable.
func (c *checker) checkRank(k Class, before []Class) {
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

// checkTenants checks the values of each tenant, and that each API key belongs to one tenant only.
func (c *checker) checkTenants() {
	c.checkNames(KindTenants, namesOf(c.fleet.Tenants, func(t Tenant) string { return t.Name }))
	first := map[KeyDigest]string{} // path of the list with the first occurrence
	for _, t := range c.fleet.Tenants {
		e := elementChecker{c, KindTenants, t.Name}
		e.checkInt("Weight", t.Weight, MaxWeight)
		e.checkFloat("Rate", t.Rate, MaxRate)
		if e.checkInt("Burst", t.Burst, MaxBurst) && t.Burst > 0 && t.Rate == 0 {
			e.report("Burst", "a burst above no rate bounds nothing: set Rate or remove Burst", e.path("Rate"))
		}
		e.checkInt("MaxCPU", t.MaxCPU, MaxAmount)
		e.checkInt("MaxMemMB", t.MaxMemMB, MaxAmount)
		e.checkInt("MaxGPU", t.MaxGPU, MaxAmount)
		e.checkKeys(t.Keys, first)
	}
}

// checkKeys checks the digests of the API keys of a tenant and adds the path of the list to first for each new one.
// The messages do not contain the values, since a malformed digest may be a key.
func (e elementChecker) checkKeys(keys []KeyDigest, first map[KeyDigest]string) {
	if len(keys) > MaxKeys {
		e.report("Keys", fmt.Sprintf("%d keys are too many: configure at most %d for a tenant", len(keys), MaxKeys))
	}
	empty := DigestKey("")
	for i, k := range keys {
		field := fmt.Sprintf("Keys[%d]", i)
		other, found := first[k]
		switch {
		case !k.valid():
			e.report(field, "this is not the SHA-256 digest of a key: write 64 lower-case hexadecimal digits, as config digest prints them")
		case k == empty:
			e.report(field, "this is the digest of an empty key, which no caller can send: remove it")
		case found:
			e.report(field, "the same key is configured twice, and a key belongs to one tenant: remove one of them", other)
		default:
			first[k] = e.path("Keys")
		}
	}
}
