package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/fake/plat"
	"sassafrasvalve/io/node"
)

// The job that the demo submits: two steps, of which the second runs after the first.
const (
	jobID   = "00000000000000d1"
	jobBody = `{"spec":"demo","steps":[{"count":4,"cpu":2000,"mem_mb":1000,"estimate_ms":300},` +
		`{"count":1,"cpu":1000,"mem_mb":500,"estimate_ms":200,"after":[0]}]}`
)

// runJob starts an entry on the fake of the platform that has jobs, submits a job and waits for its completion.
func (d *Demo) runJob(ctx context.Context) error {
	p, err := plat.Start(plat.Config{VMs: 3, Spare: 2})
	if err != nil {
		return eris.Wrap(err, "start the fake platform")
	}
	defer p.Close()
	p.SetSteps(jobID, []jobs.Step{
		{Count: 4, CPU: 2000, MemMB: 1000, EstimateMs: 300}, {Count: 1, CPU: 1000, MemMB: 500, EstimateMs: 200, After: []int{0}},
	})
	front, err := freeAddr(ctx)
	if err != nil {
		return err
	}
	ready, err := freeAddr(ctx)
	if err != nil {
		return err
	}
	own, err := freeAddr(ctx)
	if err != nil {
		return err
	}
	n, err := node.New(&node.Settings{
		Node: "demo", Front: front, Ready: ready, Peer: own, LogLevel: "error",
		Store: node.StoreSettings{Addr: p.Store(), Parts: 12}, Cloud: node.CloudSettings{Addr: p.Cloud()},
		Times: node.TimeSettings{StatusMs: 60_000, GraceMs: 6000},
	})
	if err != nil {
		return err
	}
	run, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(run) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			d.printf("the entry failed: %v", err)
		}
	}()
	url := "http://" + front + plat.Prefix + jobID
	if err := until(ctx, func() bool { return jobCall(ctx, http.MethodPost, url, jobBody) == "200 " }); err != nil {
		return eris.Wrapf(err, "submit job %s", jobID)
	}
	d.printf("job %s accepted", jobID)
	if err := until(ctx, func() bool { return strings.Contains(jobCall(ctx, http.MethodGet, url, ""), "complete") }); err != nil {
		return eris.Wrapf(err, "wait for completion of job %s", jobID)
	}
	d.printf("job %s complete", jobID)
	return nil
}

// until repeats check until it returns true. It returns an error if stepTimeout passes first.
func until(ctx context.Context, check func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for !check() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// jobCall sends a request to the job API and returns the status code, a space and the body. It returns an empty string
// if there is no answer.
func jobCall(ctx context.Context, method, url, body string) string {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return ""
	}
	req.Host = plat.Host
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }() // the body is read completely below
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return ""
	}
	return res.Status[:4] + string(text)
}
