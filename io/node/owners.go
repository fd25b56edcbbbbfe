package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/peer"
	"sassafrasvalve/io/relay"
	"sassafrasvalve/io/tail"
)

// Methods between entries.
const (
	methodStore   = "Store"
	methodOwns    = "Owns"
	methodState   = "State"
	methodPost    = "Post"
	methodWaiting = "Waiting"
	methodExclude = "Exclude"
)

// Timeouts of a record that is passed to an owner.
const (
	// storeTimeout bounds the wait for an owner to store a record.
	storeTimeout = 2400 * time.Millisecond
	// storeProbeAfter is the time after which an owner that has not answered is probed. If it answers, the log is slow and
	// an append by this entry would add to its load. Otherwise the call is cancelled and the entry appends the record
	// itself.
	storeProbeAfter = 1500 * time.Millisecond
	// probeTimeout bounds that probe.
	probeTimeout = 250 * time.Millisecond
)

// storeRequest asks the owner of a shard to store records.
type storeRequest struct {
	Part     int
	Records  []jobs.Record
	WithinMs int64 // time that the caller waits for the answer, 0 if unknown
	// Load is set if Records is the record of a job that may be refused for the backlog of its client account. Earlier versions
	// neither send nor read it.
	Load *shard.Load `json:",omitempty"`
}

// replyReserveDivisor divides the caller's time into the part that is reserved for the latency of the reply.
const replyReserveDivisor = 4

// deadlineFor returns ctx limited to the time that the caller waits, less the part reserved for the latency of the reply.
func (q *storeRequest) deadlineFor(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.WithinMs <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(q.WithinMs-q.WithinMs/replyReserveDivisor)*time.Millisecond)
}

// queryTimeout bounds a query to an owner for a job or a queue length.
const queryTimeout = 500 * time.Millisecond

// excludeTimeout bounds a call that excludes a job from a shard, for which the owner appends to the log and reads it.
const excludeTimeout = time.Second

// stateRequest asks for the state of a job.
type stateRequest struct {
	Part int
	ID   string
}

// postRequest sends a pool's demand report to the machine controller.
type postRequest struct {
	Service string
	Post    jobs.DemandReport
}

// reportTimeout bounds the call that sends a demand report.
const reportTimeout = 500 * time.Millisecond

// waitingRequest asks for the number of jobs of a queue that have not started.
type waitingRequest struct {
	Part  int
	Queue string // its name
	Route string // empty in calls of earlier versions
}

// queue returns the queue that is asked for.
func (q *waitingRequest) queue() jobs.QueueID { return jobs.QueueID{Name: q.Queue, Route: q.Route} }

// excludeRequest asks the owner of a shard to refuse a job from now on, unless the shard has it.
type excludeRequest struct {
	Part int
	ID   string
}

// excludeAnswer is the answer to an excludeRequest.
type excludeAnswer struct {
	Known bool // Found is certain, and the shard refuses the job unless it has it
	Found bool // the shard has the job
}

// ownsRequest asks whether a process is the owner of a shard.
type ownsRequest struct {
	Part int
}

// ownsAnswer is the answer to an ownsRequest.
type ownsAnswer struct {
	Member string // the process that answers
	Owns   bool
}

// shardOwners calls the owners of shards in this process and in others. It implements owner.Peers and jobapi.Owners.
type shardOwners struct {
	member    string
	log       *zap.Logger
	conns     *peer.Pool
	directory *tail.Directory

	relayServer *relay.Server // relays calls of owners in other entries
	relaySet    *relay.Set    // entries that relay calls of owners in this process

	mu      sync.Mutex                   // guards the following
	local   map[int]*owner.Owner         // owners in this process, by shard
	demands map[string]jobs.DemandReport // received from owners, by service
}

func newShardOwners(member string, directory *tail.Directory, log *zap.Logger) *shardOwners {
	return &shardOwners{
		member: member, log: log, directory: directory, local: map[int]*owner.Owner{}, demands: map[string]jobs.DemandReport{},
		conns: peer.NewPool(peer.PoolConfig{From: func() string { return member }, CallTimeout: storeTimeout, Log: log}),
	}
}

// add registers the Owner of a shard in this process.
func (o *shardOwners) add(part int, own *owner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local[part] = own
}

// find returns the Owner of a shard in this process, or nil if it does not take part in the shard's election.
func (o *shardOwners) find(part int) *owner.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.local[part]
}

// serve registers the methods that other entries call.
func (o *shardOwners) serve(s *peer.Server) {
	handle(s, methodStore, func(ctx context.Context, req storeRequest) any {
		ctx, cancel := req.deadlineFor(ctx)
		defer cancel()
		return o.storeLocal(ctx, &req)
	})
	handle(s, methodPost, func(_ context.Context, req postRequest) any {
		o.recordDemand(req.Service, req.Post)
		return struct{}{}
	})
	handle(s, methodState, func(ctx context.Context, req stateRequest) any { return o.localJobState(ctx, req.Part, req.ID) })
	handle(s, methodExclude, func(ctx context.Context, req excludeRequest) any {
		ctx, cancel := context.WithTimeout(ctx, excludeTimeout)
		defer cancel()
		return o.excludeLocal(ctx, req.Part, req.ID)
	})
	handle(s, methodWaiting, func(_ context.Context, req waitingRequest) any { return o.localQueueLength(req.Part, req.queue()) })
	handle(s, methodAllowance, func(_ context.Context, req allowanceRequest) any { return o.localAllowance(req.Part, req.Report) })
	handle(s, relay.MethodOffer, func(_ context.Context, req relay.Offer) any { return o.relaySet.Offer(req) })
	handle(s, methodOwns, func(_ context.Context, req ownsRequest) any {
		own := o.find(req.Part)
		return ownsAnswer{Member: o.member, Owns: own != nil && own.Owns()}
	})
}

// handle registers a method whose parameters are decoded before f is called. Malformed parameters are answered with the
// decoder's error.
func handle[P any](s *peer.Server, method string, f func(ctx context.Context, req P) any) {
	s.Handle(method, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var req P
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		return f(ctx, req), nil
	})
}

// Store passes a record to the owner of a shard. StoreResult.Owner is false if no owner accepted it.
func (o *shardOwners) Store(ctx context.Context, part int, rec jobs.Record) owner.StoreResult {
	return o.StoreJob(ctx, part, rec, nil)
}

// StoreJob passes the record of a job to the owner of a shard, which may refuse the job for its load unless that is nil.
func (o *shardOwners) StoreJob(ctx context.Context, part int, rec jobs.Record, load *shard.Load) owner.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	claim := o.directory.Shard(part).Claim
	req := storeRequest{Part: part, Records: []jobs.Record{rec}, Load: load}
	switch claim.Owner {
	case "":
		return owner.StoreResult{Verdict: retry.NotRun}
	case o.member:
		return o.storeLocal(ctx, &req)
	}
	probe := time.AfterFunc(storeProbeAfter, func() {
		probeCtx, cancelProbe := context.WithTimeout(ctx, probeTimeout)
		defer cancelProbe()
		if !o.isAlive(probeCtx, claim.Addr, part) {
			cancel()
		}
	})
	defer probe.Stop()
	var s owner.StoreResult
	if until, ok := ctx.Deadline(); ok {
		req.WithinMs = time.Until(until).Milliseconds()
	}
	err := o.conns.Call(ctx, claim.Addr, methodStore, req, &s)
	if err == nil {
		return s
	}
	o.log.Info("call to store records at owner failed", zap.Int("shard", part), zap.String("owner", claim.Owner), zap.Error(err))
	var call *peer.CallError
	if errors.As(err, &call) && call.NotRun {
		return owner.StoreResult{Verdict: retry.NotRun}
	}
	return owner.StoreResult{Owner: true, Verdict: retry.MayHaveRun}
}

// storeLocal stores the records of a request if this process owns the shard.
func (o *shardOwners) storeLocal(ctx context.Context, req *storeRequest) owner.StoreResult {
	own := o.find(req.Part)
	switch {
	case own == nil:
		return owner.StoreResult{Verdict: retry.NotRun}
	case req.Load != nil && len(req.Records) == 1:
		return own.AppendJob(ctx, req.Records[0], req.Load)
	}
	return own.AppendRecords(ctx, req.Records)
}

// ownerCall is a call of the owner of a shard.
type ownerCall struct {
	Part     int
	Method   string
	Params   any
	Deadline time.Time // of a call to another process
	Subject  zap.Field // what the call is about, for the log
}

// askOwner returns the answer of a shard's owner: that of local if this process has claimed the shard. The answer is zero
// if no owner could answer.
func askOwner[A any](ctx context.Context, o *shardOwners, c ownerCall, local func() A) A {
	var a, none A
	claim := o.directory.Shard(c.Part).Claim
	switch claim.Owner {
	case "":
		return none
	case o.member:
		return local()
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if err := o.conns.Call(ctx, claim.Addr, c.Method, c.Params, &a); err != nil {
		o.log.Info("call of owner failed", zap.String("method", c.Method), c.Subject, zap.Int("shard", c.Part),
			zap.String("owner", claim.Owner), zap.Error(err))
		return none
	}
	return a
}

// JobState asks the owner of a shard for the state of a job. The answer is zero if no owner could answer.
func (o *shardOwners) JobState(ctx context.Context, part int, id string) owner.JobAnswer {
	return askOwner(ctx, o, ownerCall{
		Part: part, Method: methodState, Params: stateRequest{Part: part, ID: id},
		Deadline: time.Now().Add(queryTimeout), Subject: zap.String("job", id),
	}, func() owner.JobAnswer { return o.localJobState(ctx, part, id) })
}

// localJobState returns the state of a job if this process owns its shard.
func (o *shardOwners) localJobState(ctx context.Context, part int, id string) owner.JobAnswer {
	own := o.find(part)
	if own == nil {
		return owner.JobAnswer{}
	}
	return own.JobState(ctx, id)
}

// ExcludeJob makes a shard refuse a job from now on, unless the shard has it. known is false if no owner could answer.
func (o *shardOwners) ExcludeJob(ctx context.Context, part int, id string) (found, known bool) {
	a := askOwner(ctx, o, ownerCall{
		Part: part, Method: methodExclude, Params: excludeRequest{Part: part, ID: id},
		Deadline: time.Now().Add(excludeTimeout), Subject: zap.String("job", id),
	}, func() excludeAnswer { return o.excludeLocal(ctx, part, id) })
	return a.Found, a.Known
}

// excludeLocal makes a shard refuse a job if this process owns the shard.
func (o *shardOwners) excludeLocal(ctx context.Context, part int, id string) excludeAnswer {
	own := o.find(part)
	if own == nil {
		return excludeAnswer{}
	}
	found, known := own.ExcludeJob(ctx, id)
	return excludeAnswer{Known: known, Found: found}
}

// QueueLength asks the owner of a shard for the number of jobs of a queue that have not started. The answer is zero if no owner
// could answer.
func (o *shardOwners) QueueLength(ctx context.Context, part int, q jobs.QueueID) owner.LengthAnswer {
	return askOwner(ctx, o, ownerCall{
		Part: part, Method: methodWaiting, Params: waitingRequest{Part: part, Queue: q.Name, Route: q.Route},
		Deadline: time.Now().Add(queryTimeout), Subject: zap.String("queue", q.Name),
	}, func() owner.LengthAnswer { return o.localQueueLength(part, q) })
}

// localQueueLength returns the number of jobs of a queue that have not started if this process owns the shard.
func (o *shardOwners) localQueueLength(part int, q jobs.QueueID) owner.LengthAnswer {
	own := o.find(part)
	if own == nil {
		return owner.LengthAnswer{}
	}
	return own.QueueLength(q)
}

// NextOwnerMs returns the time in ms after which a shard whose owner does not answer should have another one, or 0 if that is not known.
func (o *shardOwners) NextOwnerMs(part int) int64 {
	own := o.find(part)
	if own == nil {
		return 0
	}
	return own.NextOwnerMs()
}

// recordDemand keeps a demand report if it is newer than the last one received for the service.
func (o *shardOwners) recordDemand(service string, p jobs.DemandReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.demands[service]; p.NewerThan(&old) {
		o.demands[service] = p
	}
}

// newestDemand returns the newest demand report of a pool: the recorded one, or a newer one that its owner sent.
func (o *shardOwners) newestDemand(service string, recorded jobs.DemandReport) jobs.DemandReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	if received := o.demands[service]; received.NewerThan(&recorded) {
		return received
	}
	return recorded
}

// reportDemand sends a demand report to the machine controller, which owns its shard by the given claim.
func (o *shardOwners) reportDemand(claim jobs.Claim, service string, p jobs.DemandReport) {
	switch claim.Owner {
	case "":
		return
	case o.member:
		o.recordDemand(service, p)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := o.conns.Call(ctx, claim.Addr, methodPost, postRequest{Service: service, Post: p}, nil); err != nil {
		o.log.Info("call to report demand to the machine controller failed", zap.String("service", service), zap.Error(err))
	}
}

// isAlive reports whether the process at addr answers a probe about a shard.
func (o *shardOwners) isAlive(ctx context.Context, addr string, part int) bool {
	return o.conns.Call(ctx, addr, methodOwns, ownsRequest{Part: part}, nil) == nil
}

// Owns asks the process at addr whether it is the given member and the owner of a shard. It returns false only if that
// process denies one of them or refuses connections; a call that fails otherwise proves nothing.
func (o *shardOwners) Owns(ctx context.Context, addr string, part int, member string) bool {
	var a ownsAnswer
	err := o.conns.Call(ctx, addr, methodOwns, ownsRequest{Part: part}, &a)
	owns := a.Owns && a.Member == member
	if err != nil {
		owns = !errors.Is(err, syscall.ECONNREFUSED)
	}
	o.log.Info("owner asked", zap.Int("shard", part), zap.String("owner", member), zap.Bool("owns", owns), zap.Error(err))
	return owns
}
