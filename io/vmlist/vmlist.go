// Package vmlist polls the platform's list of VMs and sends commands for its VMs and tasks.
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
	// defaultSlowInterval limits the traffic of polls for 1,100 VMs, whose list has about 0.2 MB, to 20 KB/s.
	defaultSlowInterval = 10 * time.Second
	maxResponseBytes    = 8 << 20
	maxQuotedBytes      = 512 // of an error response, in the returned error
	maxConns            = 4
)

// ErrRefused is wrapped by the error of a request that the platform certainly did not carry out. After any other
// error, the platform may have carried it out.
var ErrRefused = errors.New("the platform refused")

// State tells whether the platform keeps or removes a VM.
type State string

// The states of a VM: Live VMs are kept, Leaving ones will be removed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is an element of the platform's list.
type VM struct {
	ID     string
	Addr   string // IP:port
	DC     string
	Rack   string
	Region string
	State  State
	Away   bool // is being rebooted
	Boots  int  // number of completed reboots
	Usage  Usage
}

// Usage is the measured load of a VM or task. It lags behind the actual load.
type Usage struct {
	Cores  float64
	Memory int64 // bytes
}

// List is the platform's list of VMs as it was at AsOf.
type List struct {
	AsOf     time.Time // by the platform's clock
	Received time.Time // by the clock of this process
	VMs      []VM      // ordered by ID
}

// Age returns the age of the list: the larger of the age since AsOf and the age since Received.
func (l List) Age(now time.Time) time.Duration {
	return max(now.Sub(l.AsOf), now.Sub(l.Received))
}

// parseList decodes a list, sorts it by ID and validates it.
func parseList(data []byte) (List, error) {
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return List{}, eris.Wrap(err, "decode VM list")
	}
	if l.AsOf.IsZero() {
		return List{}, eris.New("VM list has no AsOf time")
	}
	slices.SortFunc(l.VMs, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	for i, vm := range l.VMs {
		switch {
		case vm.ID == "":
			return List{}, eris.New("VM list contains a VM without ID")
		case i > 0 && vm.ID == l.VMs[i-1].ID:
			return List{}, eris.Errorf("VM list contains VM %q twice", vm.ID)
		case vm.State != Live && vm.State != Leaving:
			return List{}, eris.Errorf("VM %q has unknown state %q", vm.ID, vm.State)
		}
	}
	return l, nil
}

// Sink receives each new list. It is called by Poll.
type Sink interface {
	VMs(l List)
}

// Config configures a Client. Zero values get defaults.
type Config struct {
	Base     string        // URL of the platform
	ClientID string        // sent with each request
	Interval time.Duration // between two polls
	Timeout  time.Duration // of one request
	Clock    clock.Clock
	Sink     Sink // may be nil
	// MayPollSlowly reports whether this client may poll only once per SlowInterval, because another entry acts on
	// the list. Nil means never.
	MayPollSlowly func() bool
	SlowInterval  time.Duration
}

// Counters are totals since the start of a client.
type Counters struct {
	Polls         int64
	Failed        int64 // polls without a usable list
	SentBytes     int64 // headers included
	ReceivedBytes int64
}

// Client polls the VM list and keeps the newest one. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	wire wire.Counter

	mu            sync.Mutex
	list          List
	hasList       bool
	err           error  // of the last poll
	etag          string // of the last list
	polls, failed int64
}

// New returns a client that has no list yet. Run and Poll read it.
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

// List returns the newest list, or false before the first. The list is kept when polls fail: see Err and List.Age.
func (c *Client) List() (List, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.list
	l.VMs = slices.Clone(l.VMs)
	return l, c.hasList
}

// Err returns the error of the last poll, nil if it succeeded.
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

// checksPerInterval is how often per Interval a slowly polling client checks whether it must poll again. A single
// check per interval would add up to a second to the 3 s within which a leaving VM must be detected.
const checksPerInterval = 4

// Run polls once per Interval, or per SlowInterval while MayPollSlowly allows it, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Interval / checksPerInterval)
	defer ticker.Stop()
	for ticks := checksPerInterval; ctx.Err() == nil; ticks++ {
		if ticks >= checksPerInterval && !c.maySkipPoll() {
			_ = c.Poll(ctx) // Err returns it
			ticks = 0
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// maySkipPoll reports whether the client may poll slowly and its list is newer than SlowInterval.
func (c *Client) maySkipPoll() bool {
	l, known := c.List()
	return known && c.cfg.MayPollSlowly != nil && c.cfg.MayPollSlowly() && c.cfg.Clock.Now().Sub(l.Received) < c.cfg.SlowInterval
}

// Poll reads the list once. It rejects a list that is older than the current one, which could show a leaving VM as
// live again.
func (c *Client) Poll(ctx context.Context) error {
	l, err := c.fetch(ctx)
	l.Received = c.cfg.Clock.Now()
	if err = c.apply(l, err); err == nil && c.cfg.Sink != nil {
		c.cfg.Sink.VMs(l)
	}
	return err
}

// fetch reads the list. The platform sends only the time of the list if nothing but usage has changed since the
// last one, which is then returned with the new time.
func (c *Client) fetch(ctx context.Context) (List, error) {
	c.mu.Lock()
	etag, last := c.etag, c.list
	c.mu.Unlock()
	r, err := c.call(ctx, http.MethodGet, "/vms", nil, etag)
	if err != nil {
		return List{}, err
	}
	if r.status == http.StatusNotModified {
		last.AsOf, err = time.Parse(time.RFC3339Nano, r.header.Get(headerAsOf))
		return last, eris.Wrapf(err, "parse the time of an unchanged VM list")
	}
	l, err := parseList(r.body)
	if err == nil {
		c.mu.Lock()
		c.etag = r.header.Get("Etag")
		c.mu.Unlock()
	}
	return l, err
}

// apply counts a poll, and stores its list if err is nil and the list is not older than the current one.
func (c *Client) apply(l List, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls++
	if err == nil && c.hasList && l.AsOf.Before(c.list.AsOf) {
		err = eris.Errorf("VM list of %v is older than the current one of %v", l.AsOf, c.list.AsOf)
	}
	c.err = err
	if err != nil {
		c.failed++
		return err
	}
	c.list, c.hasList = l, true
	return nil
}

// Reboot requests the reboot of a VM from the platform.
func (c *Client) Reboot(ctx context.Context, vm string) error {
	_, err := c.do(ctx, http.MethodPost, "/vms/"+url.PathEscape(vm)+"/reboot", nil)
	return err
}

// headerAsOf is the header with the time of the list in a response without a body.
const headerAsOf = "Sassafrasvalve-As-Of"

// reply is a 2xx response, or a 304 response to a request with an entity tag.
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

// call sends a request, with an If-None-Match header unless etag is empty. Its error wraps ErrRefused if the platform
// certainly did not carry out the request.
func (c *Client) call(ctx context.Context, method, path string, body any, etag string) (reply, error) {
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
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return reply{}, eris.Wrapf(err, "%s %s", method, path)
	case len(data) > maxResponseBytes:
		return reply{}, eris.Errorf("%s %s: response has more than %d bytes", method, path, maxResponseBytes)
	case resp.StatusCode/100 == 2, etag != "" && resp.StatusCode == http.StatusNotModified:
		return reply{resp.StatusCode, resp.Header, data}, nil
	}
	err = fmt.Errorf("%s %s: platform answered %d: %q", method, path, resp.StatusCode, data[:min(len(data), maxQuotedBytes)])
	if resp.StatusCode/100 == 4 || resp.StatusCode == http.StatusServiceUnavailable {
		err = fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return reply{}, err
}
