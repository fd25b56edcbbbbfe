// Package vmlist reads the platform's list of VMs and asks it for reboots.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/io/wire"
)

// The states of a VM in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

const (
	defaultPeriod = time.Second
	callTimeout   = 2 * time.Second
	maxResponse   = 8 << 20 // bytes; 1,100 VMs take about 0.3 MB
	maxConns      = 4
)

// VM is a machine as the platform lists it. A VM without an address runs no worker.
type VM struct {
	ID     string
	Addr   string // IP:port of the worker
	DC     string
	Rack   string
	Region string
	State  string
	Away   bool // being rebooted
	Boots  int  // reboots that have ended
}

// List is the platform's list as it was at AsOf.
type List struct {
	AsOf time.Time
	VMs  []VM
}

// Config configures a Client. Zero values get defaults.
type Config struct {
	Base     string               // URL of the platform
	ClientID string               // sent with each request
	Period   func() time.Duration // pause before the next read; nil means one second
	Clock    clock.Clock
	Log      *zap.Logger
}

// Client follows the list. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	wire wire.Counter

	mu   sync.Mutex
	last List
	read time.Time // when the last list was received; zero before
	tag  string    // entity tag of the last list
}

// New returns a client without a list.
func New(cfg Config) *Client {
	if cfg.Period == nil {
		cfg.Period = func() time.Duration { return defaultPeriod }
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	c := &Client{cfg: cfg}
	c.http = wire.NewHTTPClient(&c.wire, maxConns)
	return c
}

// List returns the last list and whether any was read. It is kept through outages.
func (c *Client) List() (List, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, !c.read.IsZero()
}

// Bytes returns the bytes sent and received, headers included.
func (c *Client) Bytes() (sent, received int64) { return c.wire.Sent(), c.wire.Received() }

// Run polls the list until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.poll(ctx); err != nil {
			c.cfg.Log.Debug("VM list is not readable", zap.Error(err))
		}
		c.pause(ctx)
	}
}

// pause waits for the period, which is asked anew every defaultPeriod.
func (c *Client) pause(ctx context.Context) {
	for waited := time.Duration(0); waited < c.cfg.Period(); waited += defaultPeriod {
		if !wire.Sleep(ctx, defaultPeriod) {
			return
		}
	}
}

func (c *Client) poll(ctx context.Context) error {
	c.mu.Lock()
	tag := c.tag
	c.mu.Unlock()
	resp, cancel, err := c.do(ctx, http.MethodGet, "/vms", tag)
	if err != nil {
		return err
	}
	defer cancel()
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.unchanged(resp)
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("GET /vms: %s", resp.Status)
	}
	var l List
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&l); err != nil {
		return eris.Wrap(err, "decode the VM list")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.read, c.tag = l, c.cfg.Clock.Now(), resp.Header.Get("Etag")
	return nil
}

// unchanged moves the time of the list on.
func (c *Client) unchanged(resp *http.Response) error {
	at, err := time.Parse(time.RFC3339Nano, resp.Header.Get(headerAsOf))
	if err != nil {
		return eris.Wrapf(err, "header %s of an unchanged list", headerAsOf)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last.AsOf, c.read = at, c.cfg.Clock.Now()
	return nil
}

// headerAsOf carries the time of the list when its body is left out.
const headerAsOf = "Sassafrasvalve-As-Of"

// Reboot asks the platform to reboot a VM. It may be asked again if the answer is lost.
func (c *Client) Reboot(ctx context.Context, vm string) error {
	resp, cancel, err := c.do(ctx, http.MethodPost, "/vms/"+url.PathEscape(vm)+"/reboot", "")
	if err != nil {
		return err
	}
	defer cancel()
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("reboot VM %q: %s", vm, resp.Status)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path, tag string) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.Base+path, http.NoBody)
	if err != nil {
		cancel()
		return nil, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	req.Header.Set(wire.ClientHeader, c.cfg.ClientID)
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		cancel()
		return nil, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	return resp, cancel, nil
}
