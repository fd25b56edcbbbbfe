package jobs

import "strings"

// Queue holds the settings of a job queue. Callers submit jobs to it under its host and path prefix.
type Queue struct {
	Name          string
	Host          string
	Prefix        string  // path prefix
	Service       string  // pool whose VMs run the work items
	Priority      int     // 0 is the most urgent
	MaxAttempts   int     // failed runs of an item after which the job fails; 0 means no limit
	Stretch       float64 // the target completion time of a job is Stretch times its critical path, plus SLOMs
	SLOMs         int64
	TimeoutMs     int64
	PolicyChecked bool // an external policy decides which VMs may run a step
	Public        bool // callers need no API key, and its jobs belong to no client account
}

// Route returns the host and path prefix of the queue. They identify the queue to callers, also after the operator has given
// it another name or service.
func (q *Queue) Route() string { return q.Host + q.Prefix }

// ID returns the name and the route of the queue.
func (q *Queue) ID() QueueID { return QueueID{Name: q.Name, Route: q.Route()} }

// QueueID identifies a queue across configurations. The operator may give a queue another name or another route, so a job belongs to
// a queue if it was submitted under one of the two.
type QueueID struct {
	Name  string
	Route string // as returned by Queue.Route; empty if it is unknown
}

// has reports whether a job that was submitted to the queue id belongs to the queue.
func (q QueueID) has(id QueueID) bool {
	return q.Name == id.Name || q.Route != "" && q.Route == id.Route
}

// Pool holds the settings of the VM pool of a service.
type Pool struct {
	Service          string
	EnforcesCapacity bool // its VMs refuse a run that exceeds their capacity
	Spare            bool // the spare pool: its VMs are switched off and cost nothing
	HealthPath       string
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version         int64
	Queues          []Queue
	Pools           []Pool
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
	Accounts        Accounts
}

// Find returns the queue with the longest prefix of path among those of host. It returns false if there is none.
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

// Queue returns the queue called name, or nil if there is none. A nil Catalog, of a process that has read no configuration
// yet, has none.
func (c *Catalog) Queue(name string) *Queue {
	if c == nil {
		return nil
	}
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool of service, or nil if there is none. A nil Catalog has none.
func (c *Catalog) Pool(service string) *Pool {
	if c == nil {
		return nil
	}
	for i := range c.Pools {
		if c.Pools[i].Service == service {
			return &c.Pools[i]
		}
	}
	return nil
}
