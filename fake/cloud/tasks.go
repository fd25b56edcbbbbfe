package cloud

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// States of a task.
const (
	TaskRunning   = "running"
	TaskThrottled = "throttled"
	TaskStopped   = "stopped"
	TaskExpired   = "expired" // the lease has ended
)

// Task is a program that runs on a VM until its lease ends.
type Task struct {
	ID          string
	VM          string
	State       string
	Deadline    time.Time // end of the lease
	Checkpoints int
	Usage       Usage // lagging
}

// TaskList is the response to GET /tasks.
type TaskList struct {
	AsOf  time.Time // time at which the usage was measured
	Tasks []Task
}

// tasks holds the tasks and their usage. The mutex of the server guards it.
type tasks struct {
	byID  map[string]*Task
	usage map[string]*lagging[Usage]
}

// expireLeases marks the tasks whose lease has ended as expired.
func (t *tasks) expireLeases(now time.Time) {
	for _, task := range t.byID {
		if task.State != TaskStopped && !now.Before(task.Deadline) {
			task.State = TaskExpired
		}
	}
}

func (s *Server) getTasks(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := s.taskList()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// taskList returns the tasks with their lagging usage. The caller holds mu.
func (s *Server) taskList() TaskList {
	now := s.cfg.Clock.Now()
	s.tasks.expireLeases(now)
	list := TaskList{AsOf: now.Add(-s.usageLag), Tasks: []Task{}}
	for _, id := range slices.Sorted(maps.Keys(s.tasks.byID)) {
		task := *s.tasks.byID[id]
		task.Usage = s.tasks.usage[id].asOf(list.AsOf)
		list.Tasks = append(list.Tasks, task)
	}
	return list
}

// postTask starts a task under a lease.
func (s *Server) postTask(w http.ResponseWriter, r *http.Request) {
	var task Task
	if !readJSON(w, r, &task) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if _, ok := s.fleet.vms[task.VM]; !ok || task.ID == "" {
		http.Error(w, fmt.Sprintf("task %q needs an ID and a VM that exists", task.ID), http.StatusBadRequest)
		return
	}
	if _, ok := s.tasks.byID[task.ID]; ok {
		http.Error(w, fmt.Sprintf("task %q exists", task.ID), http.StatusConflict)
		return
	}
	if task.Deadline.IsZero() {
		task.Deadline = now.Add(s.cfg.LeaseTime)
	}
	task.State = cmp.Or(task.State, TaskRunning)
	s.tasks.byID[task.ID] = &task
	s.tasks.usage[task.ID] = &lagging[Usage]{}
	s.tasks.usage[task.ID].set(now, task.Usage)
	writeJSON(w, http.StatusOK, task)
}

// taskChange is the body of the verbs renew and usage.
type taskChange struct {
	Deadline time.Time `json:",omitzero"`
	Usage    Usage     `json:",omitzero"`
}

// postTaskVerb handles POST /tasks/{id}/{renew|usage|checkpoint|throttle|stop}.
func (s *Server) postTaskVerb(w http.ResponseWriter, r *http.Request) {
	id, verb := r.PathValue("id"), r.PathValue("verb")
	var change taskChange
	if (verb == "renew" || verb == "usage") && !readJSON(w, r, &change) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.tasks.expireLeases(now)
	task, ok := s.tasks.byID[id]
	switch {
	case !ok:
		http.Error(w, fmt.Sprintf("task %q does not exist", id), http.StatusNotFound)
		return
	case task.State == TaskStopped || task.State == TaskExpired:
		http.Error(w, fmt.Sprintf("task %q is %s", id, task.State), http.StatusConflict)
		return
	}
	switch verb {
	case "checkpoint":
		task.Checkpoints++
	case "throttle":
		task.State = TaskThrottled
	case "stop":
		task.State = TaskStopped
	case "renew":
		task.Deadline = change.Deadline
	case "usage":
		s.tasks.usage[id].set(now, change.Usage)
	default:
		http.Error(w, fmt.Sprintf("tasks have no verb %q", verb), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, task)
}
