package jobs

import (
	"fmt"
	"slices"
	"strings"
)

// Shard holds the ownership record of a shard and the newest demand report of its owner, as all entries read them.
type Shard struct {
	Claim      Claim
	ClaimCount int // accepted claim records, including renewals
	Demand     DemandReport
}

// Directory is the fold of the owners' partition: the owner of each shard, the VMs to vacate and the ordered upkeep.
// It is not safe for concurrent use.
type Directory struct {
	Shards  map[int]*Shard
	Vacate  VacateRequest
	Upkeeps map[Upkeep]bool  // ordered upkeep; the value is true once it is done
	routes  map[string][]int // shards in which jobs may be stored, by route
	names   map[string][]int // the same by the name of the queue
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{Shards: map[int]*Shard{}, Upkeeps: map[Upkeep]bool{}, routes: map[string][]int{}, names: map[string][]int{}}
}

// Apply folds one record. A record that cannot be decoded has no effect and returns an error.
func (d *Directory) Apply(rec Record) error {
	if len(rec.Key) == 0 || len(rec.Value) == 0 {
		return fmt.Errorf("record %q of the owners' partition has an empty key or value", rec.Key)
	}
	rest := rec.Key[1:]
	switch rec.Key[0] {
	case keyClaim:
		return d.applyClaim(rest, rec.Value)
	case keyDemand:
		return d.applyDemand(rest, rec.Value)
	case keyVacate:
		var v VacateRequest
		if _, err := v.UnmarshalMsg(rec.Value); err != nil {
			return fmt.Errorf("decode vacate request: %w", err)
		}
		d.Vacate = v
		return nil
	case keyUpkeep:
		u, ok := parseUpkeep(rest)
		if !ok {
			return fmt.Errorf("invalid upkeep key %q", rec.Key)
		}
		d.Upkeeps[u] = d.Upkeeps[u] || rec.Value[0] == upkeepDone
		return nil
	case keyRoute:
		return addShard(d.routes, rest)
	case keyName:
		return addShard(d.names, rest)
	default:
		return fmt.Errorf("unknown record key %q", rec.Key)
	}
}

// addShard adds the shard in the key of a route or name record, without its prefix, to the shards of the route or name.
func addShard(shards map[string][]int, key string) error {
	number, name, _ := strings.Cut(key, "/")
	shard, err := parseShard(number)
	if err != nil {
		return err
	}
	if !slices.Contains(shards[name], shard) {
		shards[name] = append(shards[name], shard)
	}
	return nil
}

// RouteShards returns the shards in which jobs of a route may be stored.
func (d *Directory) RouteShards(route string) []int { return slices.Clone(d.routes[cutRoute(route)]) }

// HasName reports whether it is recorded that jobs of the queue with a name may be stored in a shard.
func (d *Directory) HasName(name string, shard int) bool {
	return slices.Contains(d.names[cutRoute(name)], shard)
}

// QueueShards returns the shards in which jobs of a queue may be stored: those of its route, and those of its name.
func (d *Directory) QueueShards(q QueueID) []int {
	list := d.RouteShards(q.Route)
	for _, shard := range d.names[cutRoute(q.Name)] {
		if !slices.Contains(list, shard) {
			list = append(list, shard)
		}
	}
	return list
}

func (d *Directory) applyClaim(shard string, value []byte) error {
	s, err := d.shard(shard)
	if err != nil {
		return err
	}
	var c Claim
	if _, err := c.UnmarshalMsg(value); err != nil {
		return fmt.Errorf("decode claim of shard %s: %w", shard, err)
	}
	if c.Epoch >= s.Claim.Epoch {
		s.Claim = c
		s.ClaimCount++
	}
	return nil
}

func (d *Directory) applyDemand(shard string, value []byte) error {
	s, err := d.shard(shard)
	if err != nil {
		return err
	}
	var p DemandReport
	if _, err := p.UnmarshalMsg(value); err != nil {
		return fmt.Errorf("decode demand report of shard %s: %w", shard, err)
	}
	if p.NewerThan(&s.Demand) {
		s.Demand = p
	}
	return nil
}

// shard returns the shard with the given number and adds it if it is new.
func (d *Directory) shard(shard string) (*Shard, error) {
	n, err := parseShard(shard)
	if err != nil {
		return nil, err
	}
	s := d.Shards[n]
	if s == nil {
		s = &Shard{}
		d.Shards[n] = s
	}
	return s, nil
}
