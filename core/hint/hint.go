// Package hint finds the known word that a mistyped one most likely stands for.
package hint

import (
	"slices"
	"strings"
)

// maxLength bounds the words that are compared, in runes, because the comparison is quadratic.
const maxLength = 64

// Closest returns the candidate closest to word, or "" if none is close.
// Letter case counts for nothing. Up to a third of the word may differ, or one word
// begins with the other.
// Among equally close candidates the first in alphabetical order is returned.
func Closest(word string, candidates []string) string {
	w := []rune(strings.ToLower(word))
	if len(w) > maxLength {
		return ""
	}
	best, bestDistance := "", max(1, (len(w)+1)/3)+1
	for _, c := range slices.Sorted(slices.Values(candidates)) {
		r := []rune(strings.ToLower(c))
		if len(r) > maxLength || len(r) <= 1 {
			continue
		}
		d := distance(w, r)
		if isPrefix(w, r) || isPrefix(r, w) {
			d = min(d, 1)
		}
		if d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// minPrefix is the length in runes from which a word counts as the beginning of another.
const minPrefix = 3

// isPrefix says whether a is a beginning of b that is long enough to tell.
func isPrefix(a, b []rune) bool {
	return len(a) >= minPrefix && strings.HasPrefix(string(b), string(a))
}

// Suggest returns a sentence that proposes the closest candidate, or the known ones if none is close.
func Suggest(word string, candidates []string) string {
	if c := Closest(word, candidates); c != "" {
		return "did you mean " + c + "?"
	}
	if len(candidates) == 0 {
		return "none is configured"
	}
	return "known are " + strings.Join(slices.Sorted(slices.Values(candidates)), ", ")
}

// distance counts the insertions, deletions, replacements and
// swaps of neighbours that turn a into b.
func distance(a, b []rune) int {
	before, prev, cur := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := range a {
		cur[0] = i + 1
		for j := range b {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			cur[j+1] = min(prev[j+1]+1, cur[j]+1, prev[j]+cost)
			if i > 0 && j > 0 && a[i] == b[j-1] && a[i-1] == b[j] {
				cur[j+1] = min(cur[j+1], before[j-1]+1)
			}
		}
		before, prev, cur = prev, cur, before
	}
	return prev[len(b)]
}
