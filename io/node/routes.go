package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/platform"
)

// routeAppendTimeout bounds the append that records a shard of a route. It is needed once for each service that a route is
// sent to.
const routeAppendTimeout = 700 * time.Millisecond

// errRouteNotRecorded is returned while the log does not confirm that a shard is one of a route's.
var errRouteNotRecorded = errors.New("the shard of the route is not recorded")

// routeShards knows in which shards jobs of a route may be stored. A configuration may send a route to another service, and so
// to another shard, and a process that starts later reads the newest configuration only. So a shard is recorded in the
// owners' partition, which all entries follow, before the first job of the route is stored there. It is recorded for the name of
// the queue as well, as the operator may also give the queue another route.
type routeShards struct {
	store     *platform.Store
	directory *tail.Directory
	log       *zap.Logger
	records   singleflight.Group
}

// RouteShards returns the shards in which jobs of a queue's route may be stored, with part, where the next ones are stored. It
// fails if it cannot record part.
func (r *routeShards) RouteShards(ctx context.Context, q *jobs.Queue, part int) ([]int, error) {
	route := q.Route()
	list := r.directory.RouteShards(route)
	if !slices.Contains(list, part) || !r.directory.HasName(q.Name, part) {
		if err := r.recordOnce(ctx, []jobs.Record{jobs.RouteRecord(route, part), jobs.NameRecord(q.Name, part)}); err != nil {
			r.log.Warn("record of a route's shard not stored", zap.String("queue", q.Name), zap.Int("shard", part), zap.Error(err))
			return nil, err
		}
		if list = r.directory.RouteShards(route); !slices.Contains(list, part) {
			return nil, errRouteNotRecorded
		}
		r.log.Info("shard of a route recorded", zap.String("queue", q.Name), zap.Int("shard", part), zap.Ints("shards", list))
	}
	return list, nil
}

// QueueShards returns the shards in which jobs of a queue may be stored, and the local time in ms up to which the list is complete.
func (r *routeShards) QueueShards(q jobs.QueueID) (shards []int, asOfMs int64) {
	return r.directory.QueueShards(q)
}

// recordOnce records a shard of a route and of a queue's name. Callers that come at the same time share one append.
func (r *routeShards) recordOnce(ctx context.Context, records []jobs.Record) error {
	key := records[0].Key + " " + records[1].Key
	recorded := r.records.DoChan(key, func() (any, error) { return nil, r.record(context.WithoutCancel(ctx), records) })
	select {
	case res := <-recorded:
		return res.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// record appends records of a route's shard and reads the owners' partition to its end, which shows the shards that other
// entries recorded before.
func (r *routeShards) record(ctx context.Context, records []jobs.Record) error {
	res, err := r.store.Append(platform.AppendRequest{
		Topic: platform.TopicOwners, At: -1, Records: records, Deadline: time.Now().Add(routeAppendTimeout),
	})
	if err != nil {
		return err
	}
	if res.Outcome != platform.Appended {
		return fmt.Errorf("%w: outcome %d of the append", errRouteNotRecorded, res.Outcome)
	}
	return r.directory.CatchUp(ctx)
}
