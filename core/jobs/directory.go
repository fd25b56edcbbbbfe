package jobs

import "fmt"

// Shard is what all entries know of a shard: who owns it, and what the owner tells the machine controller.
type Shard struct {
	Claim      Claim
	ClaimCount int // claim records seen, also renewals
	Demand     DemandReport
}

// Directory is the fold of the owners' partition. It is not safe for concurrent use.
type Directory struct {
	Shards  map[int]*Shard
	Vacate  VacateRequest
	Upkeeps map[Upkeep]bool // ordered; true once done
}

// NewDirectory returns an empty fold.
func NewDirectory() *Directory {
	return &Directory{Shards: map[int]*Shard{}, Upkeeps: map[Upkeep]bool{}}
}

// Apply folds one record. It returns an error for a record that cannot be read; such a record has no effect.
func (r *Directory) Apply(rec Record) error {
	if len(rec.Key) == 0 || len(rec.Value) == 0 {
		return fmt.Errorf("record %q of the owners' partition is empty", rec.Key)
	}
	rest := rec.Key[1:]
	switch rec.Key[0] {
	case keyClaim:
		return r.applyClaim(rest, rec.Value)
	case keyPost:
		return r.applyPost(rest, rec.Value)
	case keyVacate:
		var v VacateRequest
		if _, err := v.UnmarshalMsg(rec.Value); err != nil {
			return fmt.Errorf("decode vacate: %w", err)
		}
		r.Vacate = v
		return nil
	case keyUpkeep:
		u, ok := parseUpkeep(rest)
		if !ok {
			return fmt.Errorf("record key %q names no upkeep", rec.Key)
		}
		r.Upkeeps[u] = r.Upkeeps[u] || rec.Value[0] == upkeepDone
		return nil
	default:
		return fmt.Errorf("record key %q is not known", rec.Key)
	}
}

func (r *Directory) applyClaim(part string, value []byte) error {
	s, err := r.shard(part)
	if err != nil {
		return err
	}
	var c Claim
	if _, err := c.UnmarshalMsg(value); err != nil {
		return fmt.Errorf("decode claim: %w", err)
	}
	if c.Epoch >= s.Claim.Epoch {
		s.Claim = c
		s.ClaimCount++
	}
	return nil
}

func (r *Directory) applyPost(part string, value []byte) error {
	s, err := r.shard(part)
	if err != nil {
		return err
	}
	var p DemandReport
	if _, err := p.UnmarshalMsg(value); err != nil {
		return fmt.Errorf("decode post: %w", err)
	}
	if p.Newer(&s.Demand) {
		s.Demand = p
	}
	return nil
}

func (r *Directory) shard(part string) (*Shard, error) {
	n, err := parsePart(part)
	if err != nil {
		return nil, err
	}
	s := r.Shards[n]
	if s == nil {
		s = &Shard{}
		r.Shards[n] = s
	}
	return s, nil
}
