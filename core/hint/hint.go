// Package hint proposes a known word for a mistyped one.
package hint

import (
	"slices"
	"strings"
)

// maxLength bounds the words that are compared, in runes, because the comparison takes quadratic time.
const maxLength = 64

// Closest returns the candidate closest to word, or "" if none is close. It ignores case. A candidate is close if up
// to a third of the word differs, or if one of the two is a prefix of the other. Among equally close candidates it
// returns the first in alphabetical order.
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

// minPrefix is the smallest length in runes at which a word counts as a prefix of another.
const minPrefix = 3

// isPrefix reports whether a is a prefix of b with at least minPrefix runes.
func isPrefix(a, b []rune) bool {
	return len(a) >= minPrefix && strings.HasPrefix(string(b), string(a))
}

// Suggest returns a text that proposes the closest candidate, or lists the known ones if none is close.
func Suggest(word string, candidates []string) string {
	if c := Closest(word, candidates); c != "" {
		return "did you mean " + c + "?"
	}
	if len(candidates) == 0 {
		return "none is configured"
	}
	return "known are " + strings.Join(slices.Sorted(slices.Values(candidates)), ", ")
}

// distance returns the number of insertions, deletions, replacements and swaps of neighbours that turn a into b.
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
