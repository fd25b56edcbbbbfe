package hash

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a ranking that moves keys of surviving nodes when one leaves.
func TestRankMovesOnlyTheKeysOfTheLostNode(t *testing.T) {
	nodes := []string{"a", "b", "c", "d"}
	for n := range 200 {
		key := fmt.Sprint("key-", n)
		before := Rank(key, nodes)
		assert.Equal(t, before[0], Owner(key, nodes))
		lost := nodes[n%len(nodes)]
		rest := slices.DeleteFunc(slices.Clone(nodes), func(s string) bool { return s == lost })
		want := slices.DeleteFunc(before, func(s string) bool { return s == lost })
		assert.DeepEqual(t, Rank(key, rest), want)
	}
}
