// Package vmlist follows the platform's list of VMs and controls its VMs and tasks.
package vmlist

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/io/wire"
)

const (
	defaultInterval = time.Second
	defaultTimeout  = 2 * time.Second
	// defaultSlowInterval keeps the list of 1,100 VMs, about 0.2 MB, within 20 KB/s.
	defaultSlowInterval = 10 * time.Second
	maxResponse         = 8 << 20 // bytes
	maxErrorBody        = 512     // bytes of an error response that are quoted
	maxConns            = 4
)

// ErrRefused says that the platform certainly did not do what was asked. Any other error leaves that open.
var ErrRefused = errors.New("the platform refused")

// State says whether the platform keeps a VM.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is a machine as the platform lists it.
type VM struct {
	ID     string
	Addr   string // IP:port
	DC     string
	Rack   string
	Region string
	State  State
	Away   bool // being rebooted
	Boots  int  // reboots that have ended
	Usage  Usage
}

// Usage is a measured load. It lags.
type Usage struct {
	Cores  float64
	Memory int64 // bytes
}

// List is the platform's list of VMs as it was at AsOf.
type List struct {
	AsOf     time.Time // by the platform's clock
	Received time.Time // by the own clock
	VMs      []VM      // by ID
}

// Age returns how old the list is: the larger of the ages by the platform's clock and by the own.
func (l List) Age(now time.Time) time.Duration {
	return max(now.Sub(l.AsOf), now.Sub(l.Received))
}

// parseList decodes and checks a list.
func parseList(data []byte) (List, error) {
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return List{}, eris.Wrap(err, "decode VM list")
	}
	if l.AsOf.IsZero() {
		return List{}, eris.New("VM list has no time")
	}
	slices.SortFunc(l.VMs, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	for i, vm := range l.VMs {
		switch {
		case vm.ID == "":
			return List{}, eris.New("VM list has a VM without ID")
		case i > 0 && vm.ID == l.VMs[i-1].ID:
			return List{}, eris.Errorf("VM list has VM %q twice", vm.ID)
		case vm.State != Live && vm.State != Leaving:
			return List{}, eris.Errorf("VM %q has the unknown state %q", vm.ID, vm.State)
		}
	}
	return l, nil
}

// Sink takes each new list. It is called by the poll loop.
type Sink interface {
	VMs(l List)
}

// Config configures a Client. Zero values get defaults.
type Config struct {
	Base     string // URL of the platform
	ClientID string // sent with each request
	Interval time.Duration
	Timeout  time.Duration // of one request
	Clock    clock.Clock
	Sink     Sink // may be nil
	// Slow reports whether this client may poll only once in SlowInterval, because another entry
	// acts on the list. Nil means never.
	Slow         func() bool
	SlowInterval time.Duration
}

// Counters are totals since the start of a client.
type Counters struct {
	Polls         int64
	Failed        int64 // polls without a usable list
	SentBytes     int64 // headers included
	ReceivedBytes int64
}

// Client follows the VM list. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	wire wire.Counter

	mu            sync.Mutex
	list          List
	known         bool
	err           error  // of the last poll
	tag           string // entity tag of the last list
	polls, failed int64
}

// New returns a client without a list.
func New(cfg Config) *Client {
	cfg.Interval = cmp.Or(cfg.Interval, defaultInterval)
	cfg.Timeout = cmp.Or(cfg.Timeout, defaultTimeout)
	cfg.SlowInterval = cmp.Or(cfg.SlowInterval, defaultSlowInterval)
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	c := &Client{cfg: cfg}
	c.http = wire.NewHTTPClient(&c.wire, maxConns)
	return c
}

// List returns the newest list, or false before the first. It is kept when polls fail; see Err and List.Age.
func (c *Client) List() (List, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.list
	l.VMs = slices.Clone(l.VMs)
	return l, c.known
}

// Err returns the error of the last poll.
func (c *Client) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Counters returns the totals since the start.
func (c *Client) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counters{c.polls, c.failed, c.wire.Sent(), c.wire.Received()}
}

// restChecks is how often in an interval a resting client looks whether it may still rest. Once
// an interval would add up to a second to the 3 s in which a leaving VM must be noticed.
const restChecks = 4

// Run polls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Interval / restChecks)
	defer ticker.Stop()
	for ticks := restChecks; ctx.Err() == nil; ticks++ {
		if ticks >= restChecks && !c.mayRest() {
			_ = c.Poll(ctx) // kept for Err
			ticks = 0
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// mayRest reports whether the list held is recent enough for a client that polls slowly.
func (c *Client) mayRest() bool {
	l, known := c.List()
	return known && c.cfg.Slow != nil && c.cfg.Slow() && c.cfg.Clock.Now().Sub(l.Received) < c.cfg.SlowInterval
}

// Poll reads the list once. A list that is older than the one held is not taken:
// it would show a leaving VM as live again.
func (c *Client) Poll(ctx context.Context) error {
	l, err := c.fetch(ctx)
	l.Received = c.cfg.Clock.Now()
	if err = c.take(l, err); err == nil && c.cfg.Sink != nil {
		c.cfg.Sink.VMs(l)
	}
	return err
}

// fetch reads the list, or only its time if nothing but usage has changed since the last one.
func (c *Client) fetch(ctx context.Context) (List, error) {
	c.mu.Lock()
	tag, last := c.tag, c.list
	c.mu.Unlock()
	r, err := c.call(ctx, http.MethodGet, "/vms", nil, tag)
	if err != nil {
		return List{}, err
	}
	if r.status == http.StatusNotModified {
		last.AsOf, err = time.Parse(time.RFC3339Nano, r.header.Get(headerAsOf))
		return last, eris.Wrapf(err, "time of an unchanged VM list")
	}
	l, err := parseList(r.body)
	if err == nil {
		c.mu.Lock()
		c.tag = r.header.Get("Etag")
		c.mu.Unlock()
	}
	return l, err
}

func (c *Client) take(l List, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls++
	if err == nil && c.known && l.AsOf.Before(c.list.AsOf) {
		err = eris.Errorf("VM list of %v is older than that of %v", l.AsOf, c.list.AsOf)
	}
	c.err = err
	if err != nil {
		c.failed++
		return err
	}
	c.list, c.known = l, true
	return nil
}

// Reboot asks the platform to reboot a VM.
func (c *Client) Reboot(ctx context.Context, vm string) error {
	_, err := c.do(ctx, http.MethodPost, "/vms/"+url.PathEscape(vm)+"/reboot", nil)
	return err
}

// headerAsOf is the time of the list in a response without a body.
const headerAsOf = "Sassafrasvalve-As-Of"

// reply is a 2xx response, or 304 to a request with an entity tag.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request and returns the body of a 2xx response.
func (c *Client) do(ctx context.Context, method, path string, body any) ([]byte, error) {
	r, err := c.call(ctx, method, path, body, "")
	return r.body, err
}

// call sends a request, with the entity tag of what is held unless it is empty.
func (c *Client) call(ctx context.Context, method, path string, body any, tag string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return reply{}, eris.Wrapf(err, "encode %s %s", method, path)
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.Base+path, in)
	if err != nil {
		return reply{}, eris.Wrapf(err, "build %s %s", method, path)
	}
	req.Header.Set(wire.ClientHeader, c.cfg.ClientID)
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	switch {
	case err != nil:
		return reply{}, eris.Wrapf(err, "%s %s", method, path)
	case len(data) > maxResponse:
		return reply{}, eris.Errorf("%s %s: response has more than %d bytes", method, path, maxResponse)
	case resp.StatusCode/100 == 2, tag != "" && resp.StatusCode == http.StatusNotModified:
		return reply{resp.StatusCode, resp.Header, data}, nil
	}
	err = fmt.Errorf("%s %s: platform answered %d: %q", method, path, resp.StatusCode, data[:min(len(data), maxErrorBody)])
	if resp.StatusCode/100 == 4 || resp.StatusCode == http.StatusServiceUnavailable {
		err = fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return reply{}, err
}
