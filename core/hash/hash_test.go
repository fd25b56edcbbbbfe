package hash

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a ranking in which the removal of a node also changes the order of the remaining nodes,
// which would move their keys.
func TestRankKeepsOrderOfRemainingNodes(t *testing.T) {
	nodes := []string{"a", "b", "c", "d"}
	for n := range 200 {
		key := fmt.Sprint("key-", n)
		before := Rank(key, nodes)
		assert.Equal(t, before[0], Owner(key, nodes))
		removed := nodes[n%len(nodes)]
		rest := slices.DeleteFunc(slices.Clone(nodes), func(s string) bool { return s == removed })
		want := slices.DeleteFunc(before, func(s string) bool { return s == removed })
		assert.DeepEqual(t, Rank(key, rest), want)
	}
}
