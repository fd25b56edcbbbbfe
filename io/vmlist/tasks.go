package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Task is a program that the platform runs on a VM until its lease ends.
type Task struct {
	ID          string
	VM          string
	State       string    // running, throttled, stopped or expired
	Deadline    time.Time // end of the lease
	Checkpoints int
	Usage       Usage
}

// TaskList is the platform's list of tasks, with their usage as measured at AsOf.
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

// Checkpoint requests a checkpoint of a task.
func (c *Client) Checkpoint(ctx context.Context, task string) error {
	return c.postTask(ctx, task, "checkpoint", nil)
}

// Throttle slows a task down.
func (c *Client) Throttle(ctx context.Context, task string) error {
	return c.postTask(ctx, task, "throttle", nil)
}

// Stop ends a task.
func (c *Client) Stop(ctx context.Context, task string) error {
	return c.postTask(ctx, task, "stop", nil)
}

// Renew sets the end of a task's lease to deadline.
func (c *Client) Renew(ctx context.Context, task string, deadline time.Time) error {
	return c.postTask(ctx, task, "renew", struct{ Deadline time.Time }{deadline})
}

// postTask sends a command to a task.
func (c *Client) postTask(ctx context.Context, task, verb string, body any) error {
	_, err := c.do(ctx, http.MethodPost, "/tasks/"+url.PathEscape(task)+"/"+verb, body)
	return err
}
