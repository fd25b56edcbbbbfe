package jobapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// lengthCase is a case of testdata/length.toml.
type lengthCase struct {
	Name       string
	Known      []int // shards of the queue in the directory of the entry
	KnownAgeMs int64 // age of the directory
	Unread     bool  // the directory was not read yet
	NoMap      bool  // the entry knows no shard of the present service
	First      bool  // the length is asked for once before, while all owners answer
	Shard      map[string]lengthShard
	Status     int
	Length     int
	RetryAfter string
	Asked      []int // shards whose owners are called, in ascending order for each query
}

// lengthShard is the answer of the owner of a shard.
type lengthShard struct {
	N           int
	Silent      bool // the owner does not answer
	AgeMs       int64
	Shards      []int
	ShardsAgeMs int64
	NextOwnerMs int64
}

// lengthOwners are the owners of the shards in a case.
type lengthOwners struct {
	Owners
	Routes
	Shards
	c     *lengthCase
	mu    sync.Mutex
	calm  bool // all owners answer
	asked []int
}

func (o *lengthOwners) QueueLength(_ context.Context, part int, _ jobs.QueueID) owner.LengthAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, part)
	s, known := o.c.Shard[strconv.Itoa(part)]
	if !known || s.Silent && !o.calm {
		return owner.LengthAnswer{}
	}
	return owner.LengthAnswer{Sure: true, N: s.N, AgeMs: s.AgeMs, Shards: s.Shards, ShardsAgeMs: s.ShardsAgeMs}
}

func (o *lengthOwners) NextOwnerMs(part int) int64 { return o.c.Shard[strconv.Itoa(part)].NextOwnerMs }

func (o *lengthOwners) Part(string) (int, bool) { return 2, !o.c.NoMap }

func (o *lengthOwners) QueueShards(jobs.QueueID) ([]int, int64) {
	if o.c.Unread {
		return nil, 0
	}
	return o.c.Known, clock.BootMs() - o.c.KnownAgeMs
}

// newLengthFront returns the handler of callers of queue q with route h/q/, and its log.
func newLengthFront(o Owners, shards Shards, routes Routes) (*platform.Front, *observer.ObservedLogs) {
	core, logged := observer.New(zap.InfoLevel)
	catalog := &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Host: "h", Prefix: "/q/", Public: true}}}
	return &platform.Front{Log: zap.NewNop(), JobAPI: New(Config{
		Owners: o, Catalog: &fixedCatalog{catalog: catalog}, Shards: shards, Routes: routes, ConfigUpdateMs: 3000, Log: zap.New(core), Stats: stats.New(),
	})}, logged
}

// getLength asks for the length of the queue.
func getLength(front *platform.Front) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/q/", nil)
	r.Host = "h"
	w := httptest.NewRecorder()
	front.ServeHTTP(w, r)
	return w
}

// TestLengthLeavesNoShardOut guards against a length that counts a shard as empty, as it could not be asked or is not known, and
// against a refusal for a shard that has no jobs of the queue.
func TestLengthLeavesNoShardOut(t *testing.T) {
	data, err := os.ReadFile("testdata/length.toml")
	assert.NilError(t, err)
	var script struct{ Case []lengthCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

func (c *lengthCase) play(t *testing.T) {
	o := &lengthOwners{c: c}
	front, logged := newLengthFront(o, o, o)
	if c.First {
		o.calm = true
		getLength(front)
		o.calm = false
		slices.Sort(o.asked)
	}
	first := len(o.asked)
	w := getLength(front)
	slices.Sort(o.asked[first:])
	assert.Equal(t, w.Code, c.Status, w.Body)
	assert.Equal(t, w.Header().Get("Retry-After"), c.RetryAfter)
	assert.DeepEqual(t, o.asked, c.Asked)
	if c.Status == http.StatusOK {
		var body struct{ Waiting int }
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
		assert.Equal(t, body.Waiting, c.Length)
		return
	}
	lines := logged.FilterMessage("queue length without answers of some owners").FilterField(zap.String("result", lengthRefused)).All()
	assert.Assert(t, len(lines) > 0, "a refusal is logged")
}

// hangingOwners answer no call.
type hangingOwners struct {
	Owners
	Routes
	Shards
}

func (hangingOwners) QueueLength(ctx context.Context, _ int, _ jobs.QueueID) owner.LengthAnswer {
	<-ctx.Done()
	return owner.LengthAnswer{}
}

func (hangingOwners) NextOwnerMs(int) int64 { return 0 }

func (hangingOwners) QueueShards(jobs.QueueID) ([]int, int64) {
	return []int{1, 2, 3, 4, 5, 6, 7, 8}, clock.BootMs()
}

// TestLengthIsRefusedAfterOneTimeout guards against a refusal that takes longer the more shards have no owner that answers, as these
// are asked one after the other.
func TestLengthIsRefusedAfterOneTimeout(t *testing.T) {
	front, _ := newLengthFront(hangingOwners{}, hangingOwners{}, hangingOwners{})
	startedAt := time.Now()
	w := getLength(front)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(startedAt) < 2*lengthTimeout, "took %v", time.Since(startedAt))
}
