package jobs

import "strings"

// Queue is a place where callers hand in jobs.
type Queue struct {
	Name          string
	Host          string
	Prefix        string // of the path
	Service       string // pool whose VMs run the work items
	Priority      int    // 0 comes first
	Attempts      int    // failed runs of an item after which the job has failed
	Stretch       float64
	SLOMs         int64
	TimeoutMs     int64
	PolicyChecked bool // an outside policy decides which VMs may run a step
}

// Pool is a service of the operator's configuration.
type Pool struct {
	Service          string
	EnforcesCapacity bool // its VMs refuse what does not fit
	Spare            bool // its VMs are switched off and cost nothing
	HealthPath       string
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version     int64
	Queues      []Queue
	Pools       []Pool
	HeaderBytes int
	BodyBytes   int64
	HeaderMs    int64
	IdleMs      int64
}

// Find returns the queue of a host and a path: the one with the longest prefix.
func (c *Catalog) Find(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best, best != nil
}

// Queue returns the queue with a name, nil if there is none.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool of a service, nil if there is none.
func (c *Catalog) Pool(service string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Service == service {
			return &c.Pools[i]
		}
	}
	return nil
}
