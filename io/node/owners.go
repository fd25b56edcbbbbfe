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
)

// Times of a record that is handed to an owner.
const (
	// storeTimeout bounds the wait for an owner to store a record.
	storeTimeout = 2400 * time.Millisecond
	// storeProbe is when an owner that has not answered is asked whether it is still there. If it is, the log is
	// slow, and an append of the entry's own would only slow it further; if not, the entry appends by itself.
	storeProbe = 1500 * time.Millisecond
	// aliveTimeout bounds that question.
	aliveTimeout = 250 * time.Millisecond
)

// storeRequest hands records to the owner of a shard.
type storeRequest struct {
	Part     int
	Records  []jobs.Record
	WithinMs int64 // how long the caller waits for the answer, 0 if it does not say
}

// answerShare is the part of a caller's time that is left for the way back of the answer: one in answerShare.
const answerShare = 4

// deadlineFor returns ctx with the time that a caller waits, less the way back.
func (q *storeRequest) deadlineFor(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.WithinMs <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(q.WithinMs-q.WithinMs/answerShare)*time.Millisecond)
}

// stateTimeout bounds a question to an owner.
const stateTimeout = 500 * time.Millisecond

// stateRequest asks for the state of a job.
type stateRequest struct {
	Part int
	ID   string
}

// postRequest tells the machine controller about a pool.
type postRequest struct {
	Service string
	Post    jobs.DemandReport
}

// postTimeout bounds the telling of a demand report.
const postTimeout = 500 * time.Millisecond

// stateAnswer tells it.
type stateAnswer struct {
	Known bool
	Sure  bool // the process is the owner for certain
	State jobs.State
}

// waitingRequest asks how many jobs of a queue wait.
type waitingRequest struct {
	Part  int
	Queue string
}

// waitingAnswer tells it.
type waitingAnswer struct {
	Sure bool
	N    int
}

// ownsRequest asks whether a process is the owner of a shard.
type ownsRequest struct {
	Part int
}

// ownsAnswer tells it.
type ownsAnswer struct {
	Member string
	Owns   bool
}

// owners reaches the owners of shards, in this process and in others.
type owners struct {
	member string
	log    *zap.Logger
	pool   *peer.Pool
	roster *tail.Directory

	relays  *relay.Server // of this process, for owners in others
	helpers *relay.Set    // entries that relay for owners in this process

	mu    sync.Mutex
	local map[int]*owner.Owner
	posts map[string]jobs.DemandReport // told by owners, by service
}

func newOwners(member string, roster *tail.Directory, log *zap.Logger) *owners {
	return &owners{
		member: member, log: log, roster: roster, local: map[int]*owner.Owner{}, posts: map[string]jobs.DemandReport{},
		pool: peer.NewPool(peer.PoolConfig{From: func() string { return member }, CallTimeout: storeTimeout, Log: log}),
	}
}

// add makes a shard's owner in this process known.
func (o *owners) add(part int, own *owner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local[part] = own
}

func (o *owners) find(part int) *owner.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.local[part]
}

// serve registers the methods that other entries call.
func (o *owners) serve(s *peer.Server) {
	handle(s, methodStore, func(ctx context.Context, req storeRequest) any {
		ctx, cancel := req.deadlineFor(ctx)
		defer cancel()
		return o.storeHere(ctx, req.Part, req.Records)
	})
	handle(s, methodPost, func(_ context.Context, req postRequest) any {
		o.took(req.Service, req.Post)
		return struct{}{}
	})
	handle(s, methodState, func(ctx context.Context, req stateRequest) any { return o.stateHere(ctx, req.Part, req.ID) })
	handle(s, methodWaiting, func(_ context.Context, req waitingRequest) any { return o.waitingHere(req.Part, req.Queue) })
	handle(s, relay.MethodOffer, func(_ context.Context, req relay.Offer) any { return o.helpers.Offer(req) })
	handle(s, methodOwns, func(_ context.Context, req ownsRequest) any {
		own := o.find(req.Part)
		return ownsAnswer{Member: o.member, Owns: own != nil && own.Owns()}
	})
}

// handle registers a method with decoded parameters. Malformed ones are answered with the decoder's error.
func handle[P any](s *peer.Server, method string, f func(ctx context.Context, req P) any) {
	s.Handle(method, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var req P
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		return f(ctx, req), nil
	})
}

// Store hands a record to the owner of a shard. Owner of the answer is false if none has taken it.
func (o *owners) Store(ctx context.Context, part int, rec jobs.Record) owner.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	claim := o.roster.Shard(part).Claim
	switch claim.Owner {
	case "":
		return owner.StoreResult{Verdict: retry.NotRun}
	case o.member:
		return o.storeHere(ctx, part, []jobs.Record{rec})
	}
	probe := time.AfterFunc(storeProbe, func() {
		alive, end := context.WithTimeout(ctx, aliveTimeout)
		defer end()
		if !o.answers(alive, claim.Addr, part) {
			cancel()
		}
	})
	defer probe.Stop()
	var s owner.StoreResult
	req := storeRequest{Part: part, Records: []jobs.Record{rec}}
	if until, ok := ctx.Deadline(); ok {
		req.WithinMs = time.Until(until).Milliseconds()
	}
	err := o.pool.Call(ctx, claim.Addr, methodStore, req, &s)
	if err == nil {
		return s
	}
	o.log.Info("owner not reached", zap.Int("shard", part), zap.String("owner", claim.Owner), zap.Error(err))
	var call *peer.CallError
	if errors.As(err, &call) && call.NotRun {
		return owner.StoreResult{Verdict: retry.NotRun}
	}
	return owner.StoreResult{Owner: true, Verdict: retry.MayHaveRun}
}

func (o *owners) storeHere(ctx context.Context, part int, records []jobs.Record) owner.StoreResult {
	if own := o.find(part); own != nil {
		return own.Store(ctx, records)
	}
	return owner.StoreResult{Verdict: retry.NotRun}
}

// JobState asks the owner of a shard for a job. sure is false if no owner could answer.
func (o *owners) JobState(ctx context.Context, part int, id string) (s jobs.State, known, sure bool) {
	var a stateAnswer
	claim := o.roster.Shard(part).Claim
	switch claim.Owner {
	case "":
	case o.member:
		a = o.stateHere(ctx, part, id)
	default:
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		if err := o.pool.Call(ctx, claim.Addr, methodState, stateRequest{Part: part, ID: id}, &a); err != nil {
			o.log.Info("owner not asked for a job", zap.String("job", id), zap.Int("shard", part), zap.Error(err))
			return jobs.Queued, false, false
		}
	}
	return a.State, a.Known, a.Sure
}

// stateHere tells the state of a job while this process surely owns its shard.
func (o *owners) stateHere(ctx context.Context, part int, id string) stateAnswer {
	own := o.find(part)
	if own == nil {
		return stateAnswer{}
	}
	s, known, sure := own.JobState(ctx, id)
	return stateAnswer{State: s, Known: known, Sure: sure}
}

// QueueLength asks the owner of a shard for the number of jobs of a queue of which nothing was started.
func (o *owners) QueueLength(ctx context.Context, part int, queue string) (n int, sure bool) {
	var a waitingAnswer
	claim := o.roster.Shard(part).Claim
	switch claim.Owner {
	case "":
	case o.member:
		a = o.waitingHere(part, queue)
	default:
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		if err := o.pool.Call(ctx, claim.Addr, methodWaiting, waitingRequest{Part: part, Queue: queue}, &a); err != nil {
			o.log.Info("owner not asked for waiting jobs", zap.String("queue", queue), zap.Int("shard", part), zap.Error(err))
			return 0, false
		}
	}
	return a.N, a.Sure
}

func (o *owners) waitingHere(part int, queue string) waitingAnswer {
	own := o.find(part)
	if own == nil {
		return waitingAnswer{}
	}
	n, sure := own.QueueLength(queue)
	return waitingAnswer{N: n, Sure: sure}
}

// took keeps a demand report if it is newer than the one known.
func (o *owners) took(service string, p jobs.DemandReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.posts[service]; p.Newer(&old) {
		o.posts[service] = p
	}
}

// post returns the newest post of a pool: the recorded one, or one that its owner told since.
func (o *owners) post(service string, recorded jobs.DemandReport) jobs.DemandReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	if told := o.posts[service]; told.Newer(&recorded) {
		return told
	}
	return recorded
}

// tell hands a demand report to the machine controller.
func (o *owners) tell(claim jobs.Claim, service string, p jobs.DemandReport) {
	switch claim.Owner {
	case "":
		return
	case o.member:
		o.took(service, p)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	if err := o.pool.Call(ctx, claim.Addr, methodPost, postRequest{Service: service, Post: p}, nil); err != nil {
		o.log.Info("keeper not reached", zap.String("service", service), zap.Error(err))
	}
}

// answers reports whether the process at addr answers a question about a shard.
func (o *owners) answers(ctx context.Context, addr string, part int) bool {
	return o.pool.Call(ctx, addr, methodOwns, ownsRequest{Part: part}, nil) == nil
}

// Owns asks the process at addr whether it is the owner of a shard. It returns false only if that process
// is gone or says so itself.
func (o *owners) Owns(ctx context.Context, addr string, part int, member string) bool {
	var a ownsAnswer
	err := o.pool.Call(ctx, addr, methodOwns, ownsRequest{Part: part}, &a)
	owns := a.Owns && a.Member == member
	if err != nil {
		owns = !errors.Is(err, syscall.ECONNREFUSED)
	}
	o.log.Info("owner asked", zap.Int("shard", part), zap.String("owner", member), zap.Bool("owns", owns), zap.Error(err))
	return owns
}
