package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Task is a program that the platform runs on a VM under a lease.
type Task struct {
	ID          string
	VM          string
	State       string    // running, throttled, stopped or expired
	Deadline    time.Time // end of the lease
	Checkpoints int
	Usage       Usage
}

// TaskList is the platform's list of tasks. Their usage is that of AsOf.
type TaskList struct {
	AsOf  time.Time
	Tasks []Task
}

// Tasks returns the platform's tasks.
func (c *Client) Tasks(ctx context.Context) (TaskList, error) {
	data, err := c.do(ctx, http.MethodGet, "/tasks", nil)
	if err != nil {
		return TaskList{}, err
	}
	var l TaskList
	if err := json.Unmarshal(data, &l); err != nil {
		return TaskList{}, eris.Wrap(err, "decode task list")
	}
	return l, nil
}

// Checkpoint asks for a checkpoint of a task.
func (c *Client) Checkpoint(ctx context.Context, task string) error {
	return c.task(ctx, task, "checkpoint", nil)
}

// Throttle slows a task down.
func (c *Client) Throttle(ctx context.Context, task string) error {
	return c.task(ctx, task, "throttle", nil)
}

// Stop ends a task.
func (c *Client) Stop(ctx context.Context, task string) error {
	return c.task(ctx, task, "stop", nil)
}

// Renew moves the end of a task's lease.
func (c *Client) Renew(ctx context.Context, task string, deadline time.Time) error {
	return c.task(ctx, task, "renew", struct{ Deadline time.Time }{deadline})
}

func (c *Client) task(ctx context.Context, task, verb string, body any) error {
	_, err := c.do(ctx, http.MethodPost, "/tasks/"+url.PathEscape(task)+"/"+verb, body)
	return err
}
