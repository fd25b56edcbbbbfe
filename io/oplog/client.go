// Package oplog reads the platform's log and appends records to it.
package oplog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasvalve/io/wire"
)

const (
	defaultAppendTimeout = 3 * time.Second
	defaultMaxResponse   = 8 << 20 // bytes
	maxErrorBody         = 512     // bytes of an error response that are quoted in an error
	maxConns             = 16
)

// Errors of an append. Each error of an append wraps either ErrUnknown or ErrNotAppended.
var (
	ErrUnknown     = errors.New("the append may have taken effect")
	ErrNotAppended = errors.New("nothing was appended")
	ErrRefused     = errors.New("the platform refuses the records") // a retry would fail as well; wrapped with ErrNotAppended
)

// ErrTooLarge is returned for a response above the size limit.
var ErrTooLarge = errors.New("response is too large")

// ErrExpired is returned for a read from an offset that is no longer in the log, which holds [First, Next).
type ErrExpired struct {
	First, Next int64
}

// Error states the bounds of the log.
func (e *ErrExpired) Error() string {
	return fmt.Sprintf("offset has expired: the log holds %d to %d", e.First, e.Next)
}

// ErrAhead is returned for a read from an offset past the end of the log, which holds [First, Next).
type ErrAhead struct {
	From, First, Next int64
}

// Error states the requested offset and the bounds of the log.
func (e *ErrAhead) Error() string {
	return fmt.Sprintf("offset %d is past the end of the log, which holds %d to %d", e.From, e.First, e.Next)
}

// Span is the range of offsets [First, Next).
type Span struct {
	First, Next int64
}

// Entry is one record of the log as stored by the platform.
type Entry struct {
	Offset int64
	Data   []byte
}

// Page is the response to a read. The log holds the offsets [First, Next).
type Page struct {
	First, Next int64
	Records     []Entry
}

// check returns an error unless the records have consecutive offsets starting at from and end inside the log.
func (p *Page) check(from int64) error {
	if p.First < 0 || p.First > p.Next {
		return eris.Errorf("log bounds %d to %d are reversed", p.First, p.Next)
	}
	for i, e := range p.Records {
		if e.Offset != from+int64(i) {
			return eris.Errorf("record %d of a read from offset %d has offset %d", i, from, e.Offset)
		}
	}
	if end := from + int64(len(p.Records)); len(p.Records) > 0 && end > p.Next {
		return eris.Errorf("records end at %d, past the end of the log at %d", end, p.Next)
	}
	return nil
}

// Config configures a Client. AppendTimeout and MaxResponse have defaults for their zero values.
type Config struct {
	Base          string        // URL of the platform, such as http://10.0.0.1:8080
	ClientID      string        // sent with each request
	AppendTimeout time.Duration // limit for one append
	MaxResponse   int64         // limit for the body of a response, in bytes
}

// Counters are totals since the start of a client.
type Counters struct {
	Appends       int64 // append requests
	AppendRecords int64 // records of successful appends
	AppendUnknown int64 // append requests with an unknown outcome
	AppendFailed  int64 // append requests that certainly appended nothing
	Reads         int64 // read requests
	ReadRecords   int64 // records of successful reads
	ReadFailed    int64 // failed read requests
	SentBytes     int64 // includes headers
	ReceivedBytes int64 // includes headers
}

// Client is a client of the platform's log API. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	wire wire.Counter

	appends, appendRecords, appendUnknown, appendFailed atomic.Int64
	reads, readRecords, readFailed                      atomic.Int64
}

// NewClient returns a client for the platform at cfg.Base.
func NewClient(cfg Config) *Client {
	if cfg.AppendTimeout == 0 {
		cfg.AppendTimeout = defaultAppendTimeout
	}
	if cfg.MaxResponse == 0 {
		cfg.MaxResponse = defaultMaxResponse
	}
	c := &Client{cfg: cfg}
	c.http = wire.NewHTTPClient(&c.wire, maxConns)
	return c
}

// Counters returns the totals since the start.
func (c *Client) Counters() Counters {
	return Counters{
		Appends:       c.appends.Load(),
		AppendRecords: c.appendRecords.Load(),
		AppendUnknown: c.appendUnknown.Load(),
		AppendFailed:  c.appendFailed.Load(),
		Reads:         c.reads.Load(),
		ReadRecords:   c.readRecords.Load(),
		ReadFailed:    c.readFailed.Load(),
		SentBytes:     c.wire.Sent(),
		ReceivedBytes: c.wire.Received(),
	}
}

// Append adds records to the log as one atomic batch and returns their offsets.
// Its error wraps ErrUnknown or ErrNotAppended.
func (c *Client) Append(ctx context.Context, records [][]byte) (Span, error) {
	c.appends.Add(1)
	span, err := c.append(ctx, records)
	switch {
	case err == nil:
		c.appendRecords.Add(int64(len(records)))
	case errors.Is(err, ErrUnknown):
		c.appendUnknown.Add(1)
	default:
		c.appendFailed.Add(1)
	}
	return span, err
}

func (c *Client) append(ctx context.Context, records [][]byte) (Span, error) {
	body, err := json.Marshal(struct{ Records [][]byte }{records})
	if err != nil {
		return Span{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AppendTimeout)
	defer cancel()
	// Before a connection is assigned to the request, no byte of it has been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.cfg.Base+"/log/append", bytes.NewReader(body))
	if err != nil {
		return Span{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	req.Header.Set("Content-Type", "application/json")
	status, data, err := c.do(req)
	if err != nil {
		if connected.Load() {
			return Span{}, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return Span{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	return parseAppend(status, data, len(records))
}

// parseAppend decodes the response to an append of n records. Its error wraps ErrUnknown or ErrNotAppended.
func parseAppend(status int, data []byte, n int) (Span, error) {
	switch {
	case status == http.StatusOK:
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return Span{}, fmt.Errorf("%w: %w", ErrNotAppended, statusError(status, data))
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return Span{}, fmt.Errorf("%w: %w: %w", ErrNotAppended, ErrRefused, statusError(status, data))
	default:
		return Span{}, fmt.Errorf("%w: %w", ErrUnknown, statusError(status, data))
	}
	var span Span
	if err := json.Unmarshal(data, &span); err != nil {
		return Span{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if span.First < 0 || span.Next-span.First != int64(n) {
		return Span{}, fmt.Errorf("%w: %d records got the offsets %d to %d", ErrUnknown, n, span.First, span.Next)
	}
	return span, nil
}

// Read returns at most limit records starting at offset from. At the end of the log it waits up to wait for new records.
// Its error is *ErrExpired, *ErrAhead, ErrTooLarge, or one of the transport or an invalid response.
func (c *Client) Read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error) {
	c.reads.Add(1)
	page, err := c.read(ctx, from, limit, wait)
	if err != nil {
		c.readFailed.Add(1)
		return Page{}, err
	}
	c.readRecords.Add(int64(len(page.Records)))
	return page, nil
}

func (c *Client) read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error) {
	url := c.cfg.Base + "/log/read?from=" + strconv.FormatInt(from, 10) + "&max=" + strconv.Itoa(limit) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, eris.Wrap(err, "build log read")
	}
	status, data, err := c.do(req)
	if err != nil {
		return Page{}, eris.Wrapf(err, "read log from offset %d", from)
	}
	return parseRead(status, data, from, limit)
}

// parseRead decodes and checks the response to a read of at most limit records from an offset on.
func parseRead(status int, data []byte, from int64, limit int) (Page, error) {
	switch status {
	case http.StatusOK, http.StatusGone, http.StatusRequestedRangeNotSatisfiable:
	default:
		return Page{}, statusError(status, data)
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, eris.Wrapf(err, "decode log read from offset %d", from)
	}
	if err := page.check(from); err != nil {
		return Page{}, err
	}
	switch {
	case status == http.StatusGone:
		return Page{}, &ErrExpired{page.First, page.Next}
	case status == http.StatusRequestedRangeNotSatisfiable, from > page.Next:
		return Page{}, &ErrAhead{from, page.First, page.Next}
	case len(page.Records) > limit:
		return Page{}, eris.Errorf("log read of at most %d records returned %d", limit, len(page.Records))
	}
	return page, nil
}

// Bounds returns the range of offsets that the log holds.
func (c *Client) Bounds(ctx context.Context) (Span, error) {
	page, err := c.Read(ctx, 0, 0, 0)
	var expired *ErrExpired
	if errors.As(err, &expired) {
		return Span{expired.First, expired.Next}, nil
	}
	return Span{page.First, page.Next}, err
}

// do sends a request and returns the status and the body of the response. It returns ErrTooLarge for a body above
// Config.MaxResponse.
func (c *Client) do(req *http.Request) (int, []byte, error) {
	req.Header.Set(wire.ClientHeader, c.cfg.ClientID)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponse+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(data)) > c.cfg.MaxResponse {
		return 0, nil, ErrTooLarge
	}
	return resp.StatusCode, data, nil
}

// statusError returns an error that quotes the start of an unexpected response.
func statusError(status int, body []byte) error {
	return eris.Errorf("platform answered %d: %q", status, body[:min(len(body), maxErrorBody)])
}
