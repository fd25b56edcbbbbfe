package node

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/tail"
)

// TestShardOwnersIncludeUnmappedShards guards against an allocator that gives out what a shard already uses of an account, as its
// process has not read the shard in the map yet and takes it for one without items.
func TestShardOwnersIncludeUnmappedShards(t *testing.T) {
	n := &Node{directory: tail.NewDirectory(nil, false, zap.NewNop())}
	n.shards = newShardMap(shardMapConfig{Log: zap.NewNop(), Open: func(string, int) {}})
	n.shards.apply([]jobs.Record{{Key: controllerShard, Value: []byte("0")}, {Key: "desk", Value: []byte("1")}}, false)
	var claims []jobs.Record
	for part, c := range []jobs.Claim{{Epoch: 3, Owner: "a"}, {Epoch: 2}, {Epoch: 5, Owner: "b"}} {
		value, err := c.MarshalMsg(nil)
		assert.NilError(t, err)
		claims = append(claims, jobs.Record{Key: jobs.ClaimKey(part), Value: value})
	}
	n.directory.Apply(claims)
	epochs, owned := n.shardOwners()
	assert.DeepEqual(t, epochs, map[int]int64{1: 2, 2: 5})
	assert.DeepEqual(t, owned, map[int]bool{1: false, 2: true})
}
