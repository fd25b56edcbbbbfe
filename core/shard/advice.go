package shard

import (
	"sort"
	"strconv"

	"sassafrasvalve/core/jobs"
)

// Advice of an outside policy on which VMs may run a step, in milliseconds where not said otherwise.
const (
	// adviceVMs is the number of VMs asked about at once. Each adds to the time of the answer.
	adviceVMs = 30
	// adviceOpen bounds the policy queries under way: the policy answers one at a time.
	adviceOpen = 6
	// adviceSlack is what must be left of a ticket's time when a start is sent.
	adviceSlack = 600
	// adviceRetry is the pause before a question is asked again.
	adviceRetry = 300
)

// stepKey names one occurrence of a step.
type stepKey struct {
	job     string
	k, step int
}

// advice is what the policy said of a step.
type advice struct {
	asking  bool
	retryAt int64
	until   int64             // local ms until which the tickets hold
	tickets map[string]string // by VM
	refused map[string]bool   // VMs that may not run it
}

// PolicyQuery asks which VMs may run a step.
type PolicyQuery struct {
	key  stepKey
	Step string // ID.K.STEP
	VMs  []string
}

// PolicyReply is the policy's answer.
type PolicyReply struct {
	Tokens  map[string]string // by VM that may run the step
	ValidMs int64
}

// TakePolicyQueries returns the policy queries that are due.
func (e *Engine) TakePolicyQueries() []PolicyQuery {
	q := e.questions
	e.questions = nil
	return q
}

// HandlePolicyReply takes an answer over; v is nil if none came.
func (e *Engine) HandlePolicyReply(q PolicyQuery, v *PolicyReply, now int64) {
	e.asking--
	a := e.advice[q.key]
	if a == nil {
		return
	}
	a.asking = false
	a.retryAt = now + adviceRetry
	if v == nil {
		return
	}
	a.tickets, a.until = v.Tokens, now+v.ValidMs
	for _, id := range q.VMs {
		if _, good := v.Tokens[id]; !good {
			a.refused[id] = true
		}
	}
	if j := e.jobs[q.key.job]; j != nil {
		j.stale = true
	}
}

// advisedOnly reports whether a step of a job needs tickets, and returns the VMs that have one. Without any,
// the policy is asked.
func (e *Engine) advisedOnly(j *job, it *item, now int64) (tickets map[string]string, needed bool) {
	q := e.catalog.Queue(j.Queue)
	if q == nil || !q.PolicyChecked {
		return nil, false
	}
	key := stepKey{j.ID, it.K, it.Step}
	a := e.advice[key]
	if a == nil {
		a = &advice{refused: map[string]bool{}}
		e.advice[key] = a
	}
	if now+adviceSlack < a.until && len(a.tickets) > 0 {
		return a.tickets, true
	}
	e.ask(key, a, it, now)
	return nil, true
}

// ask has the policy asked about the VMs with the most room.
func (e *Engine) ask(key stepKey, a *advice, it *item, now int64) {
	if a.asking || now < a.retryAt || e.asking >= adviceOpen {
		return
	}
	var list []*vm
	for _, v := range e.vms {
		if v.usable(now) && !a.refused[v.ID] && v.fits(it) && (it.step.Label == "" || v.HasLabel(it.step.Label)) {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return
	}
	sort.Slice(list, func(x, y int) bool {
		fx, fy := list[x].CPU-list[x].cpu, list[y].CPU-list[y].cpu
		return fx > fy || fx == fy && list[x].ID < list[y].ID
	})
	q := PolicyQuery{key: key, Step: key.job + "." + strconv.Itoa(key.k) + "." + strconv.Itoa(key.step)}
	for _, v := range list[:min(len(list), adviceVMs)] {
		q.VMs = append(q.VMs, v.ID)
	}
	a.asking = true
	e.asking++
	e.questions = append(e.questions, q)
}

// dropTickets forgets the tickets of a step of which the VMs refused one.
func (e *Engine) dropTickets(it *item) {
	if a := e.advice[stepKey{it.job.ID, it.K, it.Step}]; a != nil {
		a.until = 0
	}
}

// forgetAdvice forgets what was said of a job that is over.
func (e *Engine) forgetAdvice(j *jobs.Job) {
	if len(e.advice) == 0 {
		return
	}
	for key := range e.advice {
		if key.job == j.ID {
			delete(e.advice, key)
		}
	}
}
