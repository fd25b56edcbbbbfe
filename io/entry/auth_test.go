package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/worker"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/stats"
)

// keyCase is one case of testdata/keys.toml.
type keyCase struct {
	Name    string
	Keyless bool // no tenant has keys
	Lapsed  bool // the view lease has lapsed
	Service string
	Class   string   // "urgent" if empty
	Fields  []string // of the request
	Long    bool     // the last field is repeated up to 30 KB
	Status  int
	Reason  string // of a refusal
	Tenant  string // that the worker or the record of the job gets
	Auth    string // credentials that the worker gets
}

// keyJobs keeps accepted jobs in memory and knows whose they are.
type keyJobs struct{ *jobs }

func (j keyJobs) Status(ctx context.Context, id string) (JobStatus, bool) {
	st, ok := j.jobs.Status(ctx, id)
	st.Service, st.Tenant = j.got[id].Service, j.got[id].Tenant
	return st, ok
}

// observed keeps what an entry reports in logs and metrics, as text.
type observed struct {
	mu   sync.Mutex
	text strings.Builder
	seen []stats.Observation
}

func (o *observed) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *observed) Observe(s stats.Observation) {
	_, _ = fmt.Fprintf(o, "%+v", s)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen = append(o.seen, s)
}

// newKeyRig starts an entry with one worker whose logs and metrics are kept.
func newKeyRig(t *testing.T, c *keyCase) (*rig, *observed) {
	x, o := &rig{t: t, sched: &scheduler{}, gate: &gate{}, jobs: &jobs{got: map[string]fleet.Job{}}}, &observed{}
	w, err := worker.Start(worker.Config{Name: "vm0"})
	assert.NilError(t, err)
	t.Cleanup(w.Close)
	x.sched.workers = []*worker.Server{w}
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(o), zap.DebugLevel))
	x.entry, err = New(Config{
		Scheduler: x.sched, Forwarder: proxy.New(proxy.Config{}), Gate: x.gate, Jobs: keyJobs{x.jobs}, Observer: o, Log: log,
	})
	assert.NilError(t, err)
	f := spec.Fleet{
		Services: []spec.Service{{Name: "holds"}, {Name: "rates", Public: true}},
		Classes:  []spec.Class{{Name: "urgent"}, {Name: "later", Deferrable: true, FinishBy: "Sat 06:00"}},
		Tenants:  []spec.Tenant{{Name: "team"}, {Name: "pubs"}, {Name: "open"}},
	}
	for i := range 2 {
		if !c.Keyless {
			f.Tenants[i].Keys = []spec.KeyDigest{spec.DigestKey("key-" + f.Tenants[i].Name)}
		}
	}
	x.entry.SetView(f)
	x.gate.lapsed.Store(c.Lapsed)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	x.addr = ln.Addr().String()
	go func() { _ = x.entry.Serve(ln) }()
	t.Cleanup(func() { _ = x.entry.Close() })
	return x, o
}

// TestKeys guards against a request that is served without a known key or for another tenant than that of its key, a key that reaches
// a worker, the record of a job, a log or a metric, and, without keys in the configuration, a request that is treated differently.
func TestKeys(t *testing.T) {
	data, err := os.ReadFile("testdata/keys.toml")
	assert.NilError(t, err)
	var file struct{ Case, Reader []keyCase }
	assert.NilError(t, toml.Unmarshal(data, &file))
	assert.Assert(t, len(file.Case) > 0 && len(file.Reader) > 0)
	for _, c := range file.Case {
		t.Run(c.Name, func(t *testing.T) { c.check(t) })
	}
	for _, c := range file.Reader {
		t.Run("status of a job: "+c.Name, func(t *testing.T) { c.checkReader(t) })
	}
}

// check sends the request and checks the answer and what the worker or the record of the job gets.
func (c *keyCase) check(t *testing.T) {
	x, o := newKeyRig(t, c)
	class := c.Class
	if class == "" {
		class = "urgent"
	}
	if n := len(c.Fields); c.Long {
		c.Fields[n-1] += strings.Repeat("\xff", 30<<10)
	}
	lines := append([]string{
		"POST /x HTTP/1.1", "Host: h", "Content-Length: 2", headerService + ": " + c.Service, headerClass + ": " + class,
	}, c.Fields...)
	resp, body, err := x.raw(strings.Join(lines, "\r\n") + "\r\n\r\nok")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, c.Status, body)
	c.checkSecrets(t, resp, o)
	switch c.Status {
	case http.StatusOK:
		var a worker.Answer
		assert.NilError(t, json.Unmarshal([]byte(body), &a))
		assert.Equal(t, a.Header.Get(headerTenant), c.Tenant)
		assert.Equal(t, a.Header.Get("Authorization"), c.Auth)
	case http.StatusAccepted:
		assert.Equal(t, len(x.jobs.got), 1)
		for _, job := range x.jobs.got {
			assert.Equal(t, job.Tenant, c.Tenant)
			assert.Equal(t, http.Header(job.Request.Header).Get(headerTenant), c.Tenant)
			assert.Equal(t, http.Header(job.Request.Header).Get("Authorization"), "")
		}
	default:
		assert.Equal(t, x.sched.workers[0].Counts().Ran, 0)
		assert.Assert(t, strings.Contains(body, `"Reason":"`+c.Reason+`"`), body)
		assert.Equal(t, o.seen[0].Reason, c.Reason)
	}
}

// checkReader reads the status of a job.
func (c *keyCase) checkReader(t *testing.T) {
	x, o := newKeyRig(t, c)
	if c.Service != "" {
		x.jobs.got["j"] = fleet.Job{ID: "j", Service: c.Service, Tenant: c.Tenant}
	}
	lines := append([]string{"GET /-/jobs/j HTTP/1.1", "Host: h"}, c.Fields...)
	resp, body, err := x.raw(strings.Join(lines, "\r\n") + "\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, c.Status, body)
	assert.Equal(t, resp.Header.Get("Sassafrasvalve-Verdict"), "")
	assert.Equal(t, strings.Contains(body, `"State"`), c.Status == http.StatusOK, body)
	assert.Equal(t, resp.Header.Get("Retry-After") != "", c.Status == http.StatusServiceUnavailable)
	c.checkSecrets(t, resp, o)
}

// checkSecrets checks that a 401 is counted and asks for a key, and that no log or metric has a key or a digest.
func (c *keyCase) checkSecrets(t *testing.T, resp *http.Response, o *observed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	want := ""
	if c.Status == http.StatusUnauthorized {
		want = "Bearer"
		assert.Equal(t, len(o.seen), 1)
		assert.Equal(t, o.seen[0].Status, c.Status)
	}
	assert.Equal(t, resp.Header.Get("WWW-Authenticate"), want)
	for _, key := range []string{"key-team", "key-pubs", "key-none"} {
		assert.Assert(t, !strings.Contains(o.text.String(), key), o.text.String())
		assert.Assert(t, !strings.Contains(o.text.String(), string(spec.DigestKey(key))[:8]), o.text.String())
	}
}

// TestRevokedKey guards against a key that works after the configuration without it is in force.
func TestRevokedKey(t *testing.T) {
	c := &keyCase{}
	x, _ := newKeyRig(t, c)
	text := "GET /x HTTP/1.1\r\nHost: h\r\nSassafrasvalve-Service: holds\r\nSassafrasvalve-Class: urgent\r\nAuthorization: Bearer key-team\r\n\r\n"
	resp, _, err := x.raw(text)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	x.entry.SetView(spec.Fleet{
		Services: []spec.Service{{Name: "holds"}}, Classes: []spec.Class{{Name: "urgent"}},
		Tenants: []spec.Tenant{{Name: "team", Keys: []spec.KeyDigest{spec.DigestKey("key-new")}}},
	})
	resp, _, err = x.raw(text)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 401)
}
