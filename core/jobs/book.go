package jobs

import "fmt"

// Entry is one job of a shard as the log tells it.
type Entry struct {
	Job       *Job // nil while only a cancel or a progress record of it was seen
	Progress  Progress
	Cancelled bool
}

// State returns what a caller is told of the job.
func (e *Entry) State() State {
	if e.Progress.State.Final() {
		return e.Progress.State
	}
	if e.Cancelled {
		return Cancelled
	}
	return e.Progress.State
}

// Record is one keyed record of a shard's partition. A nil value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Book is the fold of one shard's partition. It is not safe for concurrent use.
type Book struct {
	Entries map[string]*Entry
	Claim   Claim
	Claims  int             // claim records seen, also renewals
	Upkeeps map[Upkeep]bool // ordered; true once done
	Post    Post
	Vacate  Vacate
}

// NewBook returns an empty fold.
func NewBook() *Book { return &Book{Entries: map[string]*Entry{}, Upkeeps: map[Upkeep]bool{}} }

// Change says what a record changed.
type Change struct {
	ID        string
	Submitted bool
	Cancelled bool
	Claimed   bool
	Posted    bool
}

// Apply folds one record. A record may come twice or, after a reread, behind a newer one of its key.
// It returns an error for a record that cannot be read; such a record has no effect.
func (b *Book) Apply(r Record) (Change, error) {
	switch r.Key {
	case KeyClaim:
		return b.applyClaim(r.Value)
	case KeyPost:
		var p Post
		if _, err := p.UnmarshalMsg(r.Value); err != nil {
			return Change{}, fmt.Errorf("decode post: %w", err)
		}
		b.Post = p
		return Change{Posted: true}, nil
	case KeyVacate:
		var v Vacate
		if _, err := v.UnmarshalMsg(r.Value); err != nil {
			return Change{}, fmt.Errorf("decode vacate: %w", err)
		}
		b.Vacate = v
		return Change{Posted: true}, nil
	}
	if len(r.Key) < 2 {
		return Change{}, fmt.Errorf("record key %q is not known", r.Key)
	}
	id := r.Key[1:]
	if len(r.Value) == 0 {
		b.drop(r.Key[0], id)
		return Change{}, nil
	}
	switch r.Key[0] {
	case keyUpkeep:
		if u, ok := parseUpkeep(id); ok {
			b.Upkeeps[u] = b.Upkeeps[u] || r.Value[0] == upkeepDone
		}
		return Change{}, nil
	case keyJob:
		return b.applyJob(id, r.Value)
	case keyProgress:
		return b.applyProgress(id, r.Value)
	case keyCancel:
		e := b.entry(id)
		first := !e.Cancelled
		e.Cancelled = true
		return Change{ID: id, Cancelled: first}, nil
	default:
		return Change{}, fmt.Errorf("record key %q is not known", r.Key)
	}
}

func (b *Book) applyClaim(value []byte) (Change, error) {
	var c Claim
	if _, err := c.UnmarshalMsg(value); err != nil {
		return Change{}, fmt.Errorf("decode claim: %w", err)
	}
	if c.Epoch < b.Claim.Epoch {
		return Change{}, nil
	}
	b.Claim = c
	b.Claims++
	return Change{Claimed: true}, nil
}

func (b *Book) applyJob(id string, value []byte) (Change, error) {
	e := b.entry(id)
	if e.Job != nil {
		return Change{}, nil // the same job handed in at two entries
	}
	j := &Job{}
	if _, err := j.UnmarshalMsg(value); err != nil {
		return Change{}, fmt.Errorf("decode job %s: %w", id, err)
	}
	e.Job = j
	return Change{ID: id, Submitted: true}, nil
}

func (b *Book) applyProgress(id string, value []byte) (Change, error) {
	var p Progress
	if _, err := p.UnmarshalMsg(value); err != nil {
		return Change{}, fmt.Errorf("decode progress of job %s: %w", id, err)
	}
	if e := b.entry(id); p.Rev >= e.Progress.Rev {
		e.Progress = p
	}
	return Change{}, nil
}

// drop forgets a job once its own record is dropped; the owner drops the others with it.
func (b *Book) drop(kind byte, id string) {
	if kind == keyJob {
		delete(b.Entries, id)
	}
}

func (b *Book) entry(id string) *Entry {
	e := b.Entries[id]
	if e == nil {
		e = &Entry{}
		b.Entries[id] = e
	}
	return e
}

// Waiting returns the number of accepted jobs of a queue of which no item was started.
func (b *Book) Waiting(queue string) int {
	n := 0
	for _, e := range b.Entries {
		if e.Job != nil && e.Job.Queue == queue && e.State() == Queued {
			n++
		}
	}
	return n
}
