package shard

import (
	"sort"
	"strconv"

	"sassafrasvalve/core/jobs"
)

// Limits of queries to the external policy, which decides on which VMs a step may run; in milliseconds where not said
// otherwise.
const (
	// maxQueryVMs is the number of VMs in one query. Each VM adds to the response time.
	maxQueryVMs = 30
	// maxOpenQueries bounds the queries without a reply: the policy handles one at a time.
	maxOpenQueries = 6
	// minTokenLeftMs is the validity that a token must still have when a start is sent.
	minTokenLeftMs = 600
	// queryRetryMs is the delay before a query for the same step is repeated.
	queryRetryMs = 300
)

// stepKey identifies one occurrence of a step.
type stepKey struct {
	job     string
	k, step int
}

// stepPolicy holds the newest tokens and the refusals of the policy for one occurrence of a step.
type stepPolicy struct {
	querying    bool
	retryAt     int64             // earliest time of the next query
	tokensUntil int64             // local time until which the tokens are valid
	tokens      map[string]string // by VM ID
	refusedVMs  map[string]bool   // VMs on which the policy does not allow it
}

// PolicyQuery asks the policy which of some VMs may run a step.
type PolicyQuery struct {
	key    stepKey
	StepID string // job ID, occurrence and index of the step, joined by dots
	VMs    []string
}

// PolicyReply holds the tokens of the VMs that may run the step, and their validity.
type PolicyReply struct {
	Tokens  map[string]string // by ID of the VMs that may run the step
	ValidMs int64
}

// TakePolicyQueries returns and clears the policy queries that are due.
func (e *Engine) TakePolicyQueries() []PolicyQuery {
	q := e.policyQueries
	e.policyQueries = nil
	return q
}

// HandlePolicyReply applies the reply to a query; reply is nil if the query failed.
func (e *Engine) HandlePolicyReply(q PolicyQuery, reply *PolicyReply, now int64) {
	e.openQueries--
	p := e.policies[q.key]
	if p == nil {
		return
	}
	p.querying = false
	p.retryAt = now + queryRetryMs
	if reply == nil {
		return
	}
	p.tokens, p.tokensUntil = reply.Tokens, now+reply.ValidMs
	for _, id := range q.VMs {
		if _, allowed := reply.Tokens[id]; !allowed {
			p.refusedVMs[id] = true
		}
	}
	if j := e.jobs[q.key.job]; j != nil {
		j.readyStale = true
	}
}

// policyTokens reports whether a step of a job needs tokens, and returns the valid ones by VM ID. If there are none,
// it queues a query.
func (e *Engine) policyTokens(j *job, it *item, now int64) (tokens map[string]string, needed bool) {
	checked := j.PolicyChecked
	if q := e.catalog.Queue(j.Queue); q != nil {
		checked = q.PolicyChecked
	}
	if !checked {
		return nil, false
	}
	key := stepKey{j.ID, it.K, it.Step}
	p := e.policies[key]
	if p == nil {
		p = &stepPolicy{refusedVMs: map[string]bool{}}
		e.policies[key] = p
	}
	if now+minTokenLeftMs < p.tokensUntil && len(p.tokens) > 0 {
		return p.tokens, true
	}
	e.queryPolicy(key, p, it, now)
	return nil, true
}

// queryPolicy queues a query about the VMs with the most free CPU.
func (e *Engine) queryPolicy(key stepKey, p *stepPolicy, it *item, now int64) {
	if p.querying || now < p.retryAt || e.openQueries >= maxOpenQueries {
		return
	}
	var list []*vm
	for _, v := range e.vms {
		if v.usable(now) && !p.refusedVMs[v.ID] && v.fits(it) && (it.stepDef.Label == "" || v.HasLabel(it.stepDef.Label)) {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return
	}
	sort.Slice(list, func(x, y int) bool {
		fx, fy := list[x].CPU-list[x].usedCPU, list[y].CPU-list[y].usedCPU
		return fx > fy || fx == fy && list[x].ID < list[y].ID
	})
	q := PolicyQuery{key: key, StepID: key.job + "." + strconv.Itoa(key.k) + "." + strconv.Itoa(key.step)}
	for _, v := range list[:min(len(list), maxQueryVMs)] {
		q.VMs = append(q.VMs, v.ID)
	}
	p.querying = true
	e.openQueries++
	e.policyQueries = append(e.policyQueries, q)
}

// expireTokens discards the tokens of a step after a VM refused one.
func (e *Engine) expireTokens(it *item) {
	if p := e.policies[stepKey{it.job.ID, it.K, it.Step}]; p != nil {
		p.tokensUntil = 0
	}
}

// deletePolicies deletes the policy replies for an ended job.
func (e *Engine) deletePolicies(j *jobs.Job) {
	if len(e.policies) == 0 {
		return
	}
	for key := range e.policies {
		if key.job == j.ID {
			delete(e.policies, key)
		}
	}
}
