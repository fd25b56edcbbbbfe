// Package hash ranks nodes for a key by rendezvous hashing.
package hash

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes ordered by their rendezvous weight for key, highest first. The first node owns the key.
// Removing a node changes only the owner of the keys that it owned.
func Rank(key string, nodes []string) []string {
	type weighted struct {
		node   string
		weight uint64
	}
	ws := make([]weighted, 0, len(nodes))
	for _, n := range nodes {
		ws = append(ws, weighted{n, weight(key, n)})
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	out := make([]string, len(ws))
	for i, w := range ws {
		out[i] = w.node
	}
	return out
}

// Owner returns the node with the highest weight for key, or "" if there are no nodes.
func Owner(key string, nodes []string) string {
	best, bestWeight := "", uint64(0)
	for _, n := range nodes {
		w := weight(key, n)
		if best == "" || w > bestWeight || (w == bestWeight && n < best) {
			best, bestWeight = n, w
		}
	}
	return best
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
