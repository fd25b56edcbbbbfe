package node

import (
	"context"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/quota"
	"sassafrasvalve/io/jobapi"
)

// methodAllowance reports what accounts use in a shard to the allocator of allowances, which answers with a grant.
const methodAllowance = "Allowance"

// allocation calls the allocator of allowances, which runs in the process of the machine controller.
type allocation struct {
	n *Node
}

// Allowance sends a report to the allocator. It returns a zero grant if there is no machine controller.
func (a *allocation) Allowance(ctx context.Context, r quota.Report) (quota.Grant, error) {
	part, ok := a.n.shards.Part(controllerShard)
	if !ok {
		return quota.Grant{}, nil
	}
	return a.n.peers.allowance(ctx, part, r)
}

// AllocatorEpoch returns the newest epoch of the machine controller, 0 if there is none.
func (a *allocation) AllocatorEpoch() int64 {
	part, ok := a.n.shards.Part(controllerShard)
	if !ok {
		return 0
	}
	return a.n.directory.Shard(part).Claim.Epoch
}

// allowanceRequest is a report to the owner of the machine controller's shard.
type allowanceRequest struct {
	Part   int
	Report quota.Report
}

// allowance sends a report to the owner of the machine controller's shard.
func (o *shardOwners) allowance(ctx context.Context, part int, r quota.Report) (quota.Grant, error) {
	claim := o.directory.Shard(part).Claim
	switch claim.Owner {
	case "":
		return quota.Grant{}, nil
	case o.member:
		return o.localAllowance(part, r), nil
	}
	var g quota.Grant
	err := o.conns.Call(ctx, claim.Addr, methodAllowance, allowanceRequest{part, r}, &g)
	return g, err
}

// localAllowance answers a report if this process is the machine controller.
func (o *shardOwners) localAllowance(part int, r quota.Report) quota.Grant {
	if own := o.find(part); own != nil {
		return own.HandleAllowance(r)
	}
	return quota.Grant{}
}

// accounts returns the configuration and whether it is certainly in force.
func (n *Node) accounts() (*jobs.Catalog, bool) { return n.catalog.Current(), n.catalogFresh() }

// catalogFresh reports whether the configuration was read so recently that no newer one has to be in force.
func (n *Node) catalogFresh() bool {
	c, age := n.catalog.Catalog()
	return c != nil && age <= jobapi.MaxConfigAgeMs(n.cfg.Times.ConfigMs)
}

// shardOwners returns the epochs of the owners of all shards of pools that have or had an owner, and which of them have one now. It goes
// by the claims, as this process may not have read a new shard in the map yet.
func (n *Node) shardOwners() (epochs map[int]int64, owned map[int]bool) {
	epochs, owned = map[int]int64{}, map[int]bool{}
	controller, mapped := n.shards.Part(controllerShard)
	for part, c := range n.directory.Claims() {
		if mapped && part == controller {
			continue
		}
		epochs[part], owned[part] = c.Epoch, c.Owner != ""
	}
	return epochs, owned
}
