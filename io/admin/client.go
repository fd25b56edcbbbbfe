package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// DefaultTimeout bounds one request to one entry. An entry needs up to 3 s to append a record and fold it.
const DefaultTimeout = 10 * time.Second

// minWriteAttempts is the minimum number of times that a write is sent while its outcome is unknown, so that a
// client with a single entry repeats the write after a lost answer.
const minWriteAttempts = 2

// ClientConfig configures a Client.
type ClientConfig struct {
	Entries []string      // base URLs such as http://10.0.0.1:7082, tried in this order
	Timeout time.Duration // of one request to one entry; 0 means DefaultTimeout
}

// Client sends requests to the operator APIs of entries. It is safe for concurrent use.
type Client struct {
	entries []string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client of cfg.Entries. It ignores proxy settings of the environment and does not follow
// redirects.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{timeout: cfg.Timeout}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	for _, e := range cfg.Entries {
		c.entries = append(c.entries, strings.TrimRight(e, "/"))
	}
	c.http = &http.Client{
		Transport: &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 1},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return c
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigStatus, error) {
	return get[ConfigStatus](ctx, c, PathConfig)
}

// Record returns the outcome of a record as the first answering entry knows it.
func (c *Client) Record(ctx context.Context, id string) (RecordStatus, error) {
	return get[RecordStatus](ctx, c, withID(PathRecord, id))
}

// ResolveOutcome queries the entries in order until one knows the outcome of a record. If none does, it returns the
// answer of the one that has folded most of the log, with the outcome Unknown. If no entry answers with a status,
// it returns the last *AnswerError, or an *UnreachableError if there is none.
func (c *Client) ResolveOutcome(ctx context.Context, id string) (RecordStatus, error) {
	var newest RecordStatus
	var causes []error
	answered := false
	for _, entry := range c.entries {
		var r RecordStatus
		if err := c.do(ctx, entry, http.MethodGet, withID(PathRecord, id), nil, &r); err != nil {
			causes = append(causes, err)
			continue
		}
		if r.Outcome == Accepted || r.Outcome == Rejected {
			return r, nil
		}
		if !answered || r.Through > newest.Through {
			newest, answered = r, true
		}
	}
	if !answered {
		return newest, lastAnswerError(causes)
	}
	newest.ID, newest.Outcome = id, Unknown
	return newest, nil
}

// lastAnswerError returns the last *AnswerError among causes, or an *UnreachableError if there is none.
func lastAnswerError(causes []error) error {
	for _, err := range slices.Backward(causes) {
		if answer := (*AnswerError)(nil); errors.As(err, &answer) {
			return answer
		}
	}
	return &UnreachableError{Causes: causes}
}

// VMs returns every VM.
func (c *Client) VMs(ctx context.Context) (VMList, error) { return get[VMList](ctx, c, PathVMs) }

// VM returns a VM with its history.
func (c *Client) VM(ctx context.Context, id string) (VMDetail, error) {
	return get[VMDetail](ctx, c, withID(PathVM, id))
}

// Pools returns every pool.
func (c *Client) Pools(ctx context.Context) (PoolList, error) {
	return get[PoolList](ctx, c, PathPools)
}

// Services returns every service with its budget.
func (c *Client) Services(ctx context.Context) (ServiceList, error) {
	return get[ServiceList](ctx, c, PathServices)
}

// Waves returns every wave.
func (c *Client) Waves(ctx context.Context) (WaveList, error) {
	return get[WaveList](ctx, c, PathWaves)
}

// Members returns every member.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	return get[MemberList](ctx, c, PathMembers)
}

// Job returns a deferrable job.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	return get[JobStatus](ctx, c, withID(PathJob, id))
}

// Apply requests a new configuration. See write for the errors.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (Decision, error) {
	return c.write(ctx, PathConfig, req.ID, req)
}

// Drain takes a VM out of routing. See write for the errors.
func (c *Client) Drain(ctx context.Context, vm string, req VMRequest) (Decision, error) {
	return c.write(ctx, withID(PathVMDrain, vm), req.ID, req)
}

// Move drains a VM and puts it into the pool req.To. See write for the errors.
func (c *Client) Move(ctx context.Context, vm string, req VMRequest) (Decision, error) {
	return c.write(ctx, withID(PathVMMove, vm), req.ID, req)
}

// Activate returns a VM to routing. See write for the errors.
func (c *Client) Activate(ctx context.Context, vm string, req VMRequest) (Decision, error) {
	return c.write(ctx, withID(PathVMActivate, vm), req.ID, req)
}

// PlanWave plans a wave. See write for the errors.
func (c *Client) PlanWave(ctx context.Context, req WavePlanRequest) (Decision, error) {
	return c.write(ctx, PathWaves, req.ID, req)
}

// ChangeWave starts, pauses, resumes or aborts a wave. See write for the errors.
func (c *Client) ChangeWave(ctx context.Context, wave string, action fleet.WaveAction, req WaveRequest) (Decision, error) {
	paths := map[fleet.WaveAction]string{
		fleet.WaveStart: PathWaveStart, fleet.WavePause: PathWavePause,
		fleet.WaveResume: PathWaveResume, fleet.WaveAbort: PathWaveAbort,
	}
	path, ok := paths[action]
	if !ok {
		return Decision{ID: req.ID}, fmt.Errorf("wave action %q is not available to operators", action)
	}
	return c.write(ctx, withID(path, wave), req.ID, req)
}

// UnreachableError is returned if no entry answered and none can have carried out the request.
type UnreachableError struct {
	Causes []error // one per attempt
}

// Error lists the causes.
func (e *UnreachableError) Error() string {
	if len(e.Causes) == 0 {
		return "no entry is reachable: no entry address is given"
	}
	return "no entry is reachable: " + errors.Join(e.Causes...).Error()
}

// Unwrap returns the causes.
func (e *UnreachableError) Unwrap() []error { return e.Causes }

// AnswerError is an entry's answer with a status other than 200.
type AnswerError struct {
	Entry    string
	Status   int
	Message  string
	Problems []spec.Problem
}

// Error returns the entry, its status and its message.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s answered %d %s: %s", e.Entry, e.Status, http.StatusText(e.Status), e.Message)
}

// wasRefused reports whether the entry has certainly appended nothing for the request.
func (e *AnswerError) wasRefused() bool {
	return e.Status >= 400 && e.Status < 500 || e.Status == http.StatusServiceUnavailable
}

// shouldTryNext reports whether another entry may be able to answer.
func (e *AnswerError) shouldTryNext() bool { return e.Status >= 500 }

// get sends a GET request to the entries in order until one answers with 200. It returns an *AnswerError for a
// definite refusal or if no entry answered with 200, and an *UnreachableError if no entry answered at all.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	var causes []error
	var last *AnswerError
	for _, entry := range c.entries {
		err := c.do(ctx, entry, http.MethodGet, path, nil, &out)
		if err == nil {
			return out, nil
		}
		if errors.As(err, &last) && !last.shouldTryNext() {
			return out, last
		}
		causes = append(causes, err)
		if ctx.Err() != nil {
			break
		}
	}
	if last != nil {
		return out, last
	}
	return out, &UnreachableError{Causes: causes}
}

// write sends a request that appends a record with the given ID to one entry after the other until the outcome is
// known. The Decision is valid if the error is nil; its outcome is Unknown if an entry may have appended the
// record and no entry knows the outcome. It returns an *AnswerError if the request was refused and nothing was
// appended, and an *UnreachableError if no entry received it.
func (c *Client) write(ctx context.Context, path, id string, req any) (Decision, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Decision{ID: id}, fmt.Errorf("encode the request: %w", err)
	}
	w := writeAttempts{id: id}
	for n := 0; n < len(c.entries) || (w.ambiguous && n < minWriteAttempts); n++ {
		if n > 0 && ctx.Err() != nil {
			break
		}
		var d Decision
		entry := c.entries[n%len(c.entries)]
		err := c.do(ctx, entry, http.MethodPost, path, body, &d)
		if w.resolved(d, err) {
			return d, nil
		}
		if w.refusal != nil && !w.refusal.shouldTryNext() && !w.ambiguous {
			return Decision{ID: id}, w.refusal
		}
	}
	return w.result()
}

// writeAttempts collects the results of the attempts of one write.
type writeAttempts struct {
	id        string
	ambiguous bool         // an attempt may have appended the record
	refusal   *AnswerError // of the last refused attempt
	causes    []error
}

// resolved records the result of an attempt and reports whether the outcome is known.
func (w *writeAttempts) resolved(d Decision, err error) bool {
	var answer *AnswerError
	var unsent *unsentError
	switch {
	case err == nil && d.ID == w.id && (d.Outcome == Accepted || d.Outcome == Rejected):
		return true
	case err == nil:
		w.ambiguous = true
		w.causes = append(w.causes, fmt.Errorf("an entry answered with outcome %q: %s", d.Outcome, d.Reason))
	case errors.As(err, &answer) && answer.wasRefused():
		w.refusal = answer
		w.causes = append(w.causes, err)
	case errors.As(err, &unsent):
		w.causes = append(w.causes, err)
	default:
		w.ambiguous = true
		w.causes = append(w.causes, err)
	}
	return false
}

// result returns the outcome of a write that no attempt has resolved.
func (w *writeAttempts) result() (Decision, error) {
	switch {
	case w.ambiguous:
		return Decision{ID: w.id, Outcome: Unknown, Reason: errors.Join(w.causes...).Error()}, nil
	case w.refusal != nil:
		return Decision{ID: w.id}, w.refusal
	default:
		return Decision{ID: w.id}, &UnreachableError{Causes: w.causes}
	}
}

// unsentError is returned if no connection was established, so that the entry has not received the request.
type unsentError struct {
	err error
}

// Error returns the cause.
func (e *unsentError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.err }

// do sends one request to one entry and decodes a 200 answer into out. It returns an *unsentError if no connection
// was established, and an *AnswerError for any other status.
func (c *Client) do(ctx context.Context, entry, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address %q: %w", entry, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	// The error of a timeout does not show whether a connection was established, so that is traced.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !connected.Load() {
		return &unsentError{err}
	}
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return fmt.Errorf("%s: the answer was cut off: %w", entry, err)
	}
	if len(data) > MaxBodyBytes {
		return fmt.Errorf("%s: the answer is larger than %d bytes", entry, MaxBodyBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(entry, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s: the answer is not the expected JSON: %w", entry, err)
	}
	return nil
}

// answerError decodes an answer with a status other than 200. If its body is not an ErrorBody, the message is the
// start of the body.
func answerError(entry string, status int, data []byte) *AnswerError {
	var b ErrorBody
	if json.Unmarshal(data, &b) != nil || b.Message == "" {
		b.Message = strings.TrimSpace(string(data[:min(len(data), 200)]))
	}
	return &AnswerError{Entry: entry, Status: status, Message: b.Message, Problems: b.Problems}
}

// withID replaces {id} in a path by the escaped ID.
func withID(path, id string) string { return strings.Replace(path, "{id}", url.PathEscape(id), 1) }
