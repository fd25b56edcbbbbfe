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
	"sassafrasvalve/io/tail"
)

// Methods between entries.
const (
	methodStore = "Store"
	methodOwns  = "Owns"
	methodState = "State"
	methodPost  = "Post"
)

// storeTimeout bounds the wait for an owner to store a record. After it the entry appends by itself.
// A slow store takes that long for two appends of the owner; appends of single entries would slow it further.
const storeTimeout = 1700 * time.Millisecond

// storeRequest hands records to the owner of a shard.
type storeRequest struct {
	Part    int
	Records []jobs.Record
}

// stateTimeout bounds the question for a job's state. After it the entry reads the log.
const stateTimeout = 300 * time.Millisecond

// stateRequest asks for the state of a job.
type stateRequest struct {
	Part int
	ID   string
}

// postRequest tells the keeper of the machines about a pool.
type postRequest struct {
	Service string
	Post    jobs.Post
}

// postTimeout bounds the telling of a post.
const postTimeout = 500 * time.Millisecond

// stateAnswer tells it.
type stateAnswer struct {
	Known bool
	State jobs.State
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

	mu    sync.Mutex
	local map[int]*owner.Owner
	posts map[string]jobs.Post // told by owners, by service
}

func newOwners(member string, log *zap.Logger) *owners {
	return &owners{
		member: member, log: log, local: map[int]*owner.Owner{}, posts: map[string]jobs.Post{},
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
	s.Handle(methodStore, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var req storeRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		return o.storeHere(ctx, req.Part, req.Records), nil
	})
	s.Handle(methodPost, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var req postRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		o.took(req.Service, req.Post)
		return struct{}{}, nil
	})
	s.Handle(methodState, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var req stateRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		return o.stateHere(req.Part, req.ID), nil
	})
	s.Handle(methodOwns, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var req ownsRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		own := o.find(req.Part)
		return ownsAnswer{Member: o.member, Owns: own != nil && own.Owns()}, nil
	})
}

// State asks the owner of a shard for the state of a job. It returns false if no owner knows it.
func (o *owners) State(ctx context.Context, t *tail.Tail, id string) (jobs.State, bool) {
	claim := t.View().Claim
	switch claim.Owner {
	case "":
		return 0, false
	case o.member:
		a := o.stateHere(t.Part(), id)
		return a.State, a.Known
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var a stateAnswer
	if err := o.pool.Call(ctx, claim.Addr, methodState, stateRequest{Part: t.Part(), ID: id}, &a); err != nil {
		return 0, false // the log is read instead
	}
	return a.State, a.Known
}

// stateHere tells the state of a job while this process surely owns its shard.
func (o *owners) stateHere(part int, id string) stateAnswer {
	own := o.find(part)
	if own == nil || !own.Current() {
		return stateAnswer{}
	}
	s, known := own.Job(id)
	return stateAnswer{Known: known, State: s}
}

// took keeps a post if it is newer than the one known.
func (o *owners) took(service string, p jobs.Post) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.posts[service]; p.Newer(&old) {
		o.posts[service] = p
	}
}

// post returns the newest post of a pool: the recorded one, or one that its owner told since.
func (o *owners) post(service string, recorded jobs.Post) jobs.Post {
	o.mu.Lock()
	defer o.mu.Unlock()
	if told := o.posts[service]; told.Newer(&recorded) {
		return told
	}
	return recorded
}

// tell hands a post to the keeper.
func (o *owners) tell(claim jobs.Claim, service string, p jobs.Post) {
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

func (o *owners) storeHere(ctx context.Context, part int, records []jobs.Record) owner.Stored {
	if own := o.find(part); own != nil {
		return own.Store(ctx, records)
	}
	return owner.Stored{Verdict: retry.NotRun}
}

// Store hands a record to the owner of a shard. Owner of the answer is false if none has taken it.
func (o *owners) Store(ctx context.Context, t *tail.Tail, rec jobs.Record) owner.Stored {
	claim := t.View().Claim
	switch claim.Owner {
	case "":
		return owner.Stored{Verdict: retry.NotRun}
	case o.member:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return o.storeHere(ctx, t.Part(), []jobs.Record{rec})
	}
	var s owner.Stored
	err := o.pool.Call(ctx, claim.Addr, methodStore, storeRequest{Part: t.Part(), Records: []jobs.Record{rec}}, &s)
	if err == nil {
		return s
	}
	o.log.Info("owner not reached", zap.Int("shard", t.Part()), zap.String("owner", claim.Owner), zap.Error(err))
	var call *peer.CallError
	if errors.As(err, &call) && call.NotRun {
		return owner.Stored{Verdict: retry.NotRun}
	}
	return owner.Stored{Owner: true, Verdict: retry.MayHaveRun}
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
