package stats

import "sync"

// maxAccountNames is the number of client accounts with metrics of their own.
const maxAccountNames = 50

// Names bounds the label values that come from an open set of names: the first Max names keep theirs, all others share Other. It is
// safe for concurrent use.
type Names struct {
	Max int

	mu    sync.Mutex
	known map[string]bool
}

// Label returns the label value of a name.
func (n *Names) Label(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known[name] {
		return name
	}
	if len(n.known) >= n.Max {
		return Other
	}
	if n.known == nil {
		n.known = map[string]bool{}
	}
	n.known[name] = true
	return name
}

// AccountLabel returns the label value of a client account. All metrics by account share the bound of their number.
func (s *Stats) AccountLabel(account string) string { return s.accounts.Label(account) }
