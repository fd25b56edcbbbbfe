package peer

import (
	"maps"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// otherMethod counts the messages of all unknown methods, so that a peer cannot grow the table.
const otherMethod = "other"

// Count is the traffic of one method, requests and responses together.
type Count struct {
	Sent     int64 // bytes
	Received int64 // bytes
	Messages int64
}

// Stats counts the traffic per method. A server and a pool can share it.
type Stats struct {
	mu      sync.Mutex
	methods map[string]Count
}

// NewStats returns stats without traffic.
func NewStats() *Stats { return &Stats{methods: map[string]Count{}} }

// Counts returns the traffic per method since the start.
func (s *Stats) Counts() map[string]Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.methods)
}

func (s *Stats) add(method string, sent, received int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.methods[method]
	c.Sent += int64(sent)
	c.Received += int64(received)
	c.Messages++
	s.methods[method] = c
}

// meter attributes the frames of one connection to methods. It relies on the JSON-RPC library calling its hooks and the
// stream in one critical section for a write, and in one goroutine for a read.
type meter struct {
	stats *Stats
	known func(method string) bool // reports whether a method is counted under its own name

	reading int    // bytes of the frame being handled
	writing string // method of the frame being written

	mu      sync.Mutex
	serving map[jsonrpc2.ID]string // methods of the requests that are being served
}

func newMeter(stats *Stats, known func(string) bool) *meter {
	return &meter{stats: stats, known: known, serving: map[jsonrpc2.ID]string{}}
}

func (m *meter) countRead(size int)    { m.reading = size }
func (m *meter) countWritten(size int) { m.stats.add(m.writing, size, 0) }

func (m *meter) name(method string) string {
	if m.known(method) {
		return method
	}
	return otherMethod
}

func (m *meter) onRecv(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	method := otherMethod
	if req != nil {
		method = m.name(req.Method)
	}
	m.stats.add(method, 0, m.reading)
	if req != nil && resp == nil && !req.Notif {
		m.mu.Lock()
		m.serving[req.ID] = method
		m.mu.Unlock()
	}
}

func (m *meter) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if req != nil {
		m.writing = m.name(req.Method)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writing = otherMethod
	if method, ok := m.serving[resp.ID]; ok {
		m.writing = method
	}
}

// forget removes a request after its response was sent, if it has one.
func (m *meter) forget(id jsonrpc2.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.serving, id)
}
