package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/worker"
	"sassafrasvalve/io/claims"
	"sassafrasvalve/io/proxy"
)

// peers passes calls to the claims nodes of a region.
type peers struct {
	mu    sync.Mutex
	nodes map[string]*claims.Node
}

func (p *peers) Call(_ context.Context, member, method string, params, result any) error {
	p.mu.Lock()
	n := p.nodes[member]
	p.mu.Unlock()
	if n == nil {
		return fmt.Errorf("member %s is not running", member)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	r, err := n.Handle(method, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(r); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// setMembers sends the members at an offset to the nodes of the live ones.
func (p *peers) setMembers(offset int64, live []string, lost int) {
	for _, m := range live {
		p.nodes[m].SetMembers(offset, live, m, lost)
	}
}

// keyAnswers counts the answers that callers of one idempotency key got.
type keyAnswers struct {
	mu              sync.Mutex
	ran, mismatched int // answers with verdict ran, and those of them that belong to another request
}

// add counts an answer.
func (k *keyAnswers) add(resp *http.Response) {
	var a worker.Answer
	complete := json.NewDecoder(resp.Body).Decode(&a) == nil
	k.mu.Lock()
	defer k.mu.Unlock()
	replayed := resp.Header.Get(headerReplayed) != ""
	switch v := resp.Header.Get(retry.HeaderVerdict); {
	case replayed && v == "ran":
		k.ran++
	case v == "ran" && complete:
		k.ran++
		if a.ID != resp.Header.Get(proxy.HeaderRequestID) {
			k.mismatched++
		}
	}
}

// Guards against a key that runs twice, an answer that belongs to another request, and a false verdict. Callers repeat
// their keys at all entries at once, workers close connections, refuse, truncate and answer twice, and one entry is
// closed in the middle.
func TestRegionRunsKeysAtMostOnce(t *testing.T) {
	const entries, keys, callers = 3, 60, 4
	workers := make([]*worker.Server, 0, 4)
	for i, kind := range []worker.Kind{worker.KindClose, worker.KindRefuse, worker.KindTruncate, worker.KindLateDouble} {
		w, err := worker.Start(worker.Config{Name: fmt.Sprint("w", i), Seed: uint64(i), Slots: 100})
		assert.NilError(t, err)
		t.Cleanup(w.Close)
		w.SetFault(worker.Fault{Kind: kind, Share: 0.4, Latency: spec.Duration(3 * time.Millisecond)})
		workers = append(workers, w)
	}
	p := &peers{nodes: map[string]*claims.Node{}}
	names, addrs := make([]string, 0, entries), make([]string, 0, entries)
	servers := make([]*Server, 0, entries)
	for i := range entries {
		name := fmt.Sprint("e", i)
		p.nodes[name] = claims.New(claims.Config{Peers: p})
		t.Cleanup(p.nodes[name].Close)
		s, err := New(Config{
			Scheduler: &scheduler{workers: workers, rotate: true}, Forwarder: proxy.New(proxy.Config{}),
			Claims: p.nodes[name], Self: func() string { return name },
		})
		assert.NilError(t, err)
		s.SetView(spec.Fleet{
			Services: []spec.Service{{Name: "holds", Pool: "p"}}, Classes: []spec.Class{{Name: "urgent"}},
			Tenants: []spec.Tenant{{Name: "team"}},
		})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = s.Serve(ln) }()
		t.Cleanup(func() { _ = s.Close() })
		names, addrs, servers = append(names, name), append(addrs, ln.Addr().String()), append(servers, s)
	}
	p.setMembers(1, names, 0)
	answers := make([]keyAnswers, keys)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for k := range keys {
				for try := range 3 {
					req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addrs[(c+k+try)%entries]+"/x", http.NoBody)
					req.Header = http.Header{
						headerService: {"holds"}, headerClass: {"urgent"}, headerTenant: {"team"}, headerKey: {fmt.Sprint("key", k)},
					}
					if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
						answers[k].add(resp)
						_ = resp.Body.Close()
					}
				}
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	_ = servers[0].Close()
	p.mu.Lock()
	closed := p.nodes["e0"]
	delete(p.nodes, "e0")
	p.mu.Unlock()
	closed.Close()
	p.setMembers(2, names[1:], 1)
	wg.Wait()
	total := 0
	for k := range keys {
		ran := 0
		for _, w := range workers {
			ran += w.Counts().Keys[fmt.Sprint("team/holds/key", k)]
		}
		total += ran
		assert.Check(t, ran <= 1, "key %d ran %d times", k, ran)
		assert.Check(t, ran == 1 || answers[k].ran == 0, "key %d was reported as run", k)
		assert.Check(t, answers[k].mismatched == 0, "key %d got another request's answer", k)
	}
	assert.Assert(t, total > keys/2, "only %d of %d keys ran", total, keys)
}

// BenchmarkForward measures a small request over loopback, sent directly to a worker and through an entry.
func BenchmarkForward(b *testing.B) {
	w, err := worker.Start(worker.Config{Slots: 100})
	assert.NilError(b, err)
	defer w.Close()
	s, err := New(Config{Scheduler: &scheduler{workers: []*worker.Server{w}}, Forwarder: proxy.New(proxy.Config{})})
	assert.NilError(b, err)
	s.SetView(spec.Fleet{
		Services: []spec.Service{{Name: "holds"}}, Classes: []spec.Class{{Name: "urgent"}}, Tenants: []spec.Tenant{{Name: "team"}},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Close() }()
	for name, addr := range map[string]string{"direct": w.Addr(), "entry": ln.Addr().String()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				req, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+addr+"/echo", http.NoBody)
				req.Header = http.Header{headerService: {"holds"}, headerClass: {"urgent"}, headerTenant: {"team"}}
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
