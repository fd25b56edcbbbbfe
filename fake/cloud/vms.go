package cloud

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"time"
)

// The states of a listed VM.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is a machine as the platform lists it.
type VM struct {
	ID     string
	Addr   string // IP:port
	DC     string
	Rack   string
	Region string
	State  string
	Away   bool  `json:",omitempty"` // being rebooted
	Boots  int   `json:",omitempty"` // reboots that have ended
	Usage  Usage `json:",omitzero"`
}

// Usage is the measured load of a VM or a task.
type Usage struct {
	Cores  float64
	Memory int64 // bytes
}

// List is the response to GET /vms: the VMs as they were at AsOf.
type List struct {
	AsOf time.Time
	VMs  []VM
}

// lagged keeps the recent values of something that is shown with a lag.
type lagged[T any] struct {
	values []stamped[T]
}

type stamped[T any] struct {
	at    time.Time
	value T
}

// maxLag bounds the history that is kept.
const maxLag = 10 * time.Minute

func (l *lagged[T]) set(now time.Time, v T) {
	l.values = append(l.values, stamped[T]{now, v})
	keep := 0
	for keep+1 < len(l.values) && now.Sub(l.values[keep+1].at) > maxLag {
		keep++
	}
	l.values = l.values[keep:]
}

// asOf returns the value at a time, or the oldest one if that is later.
func (l *lagged[T]) asOf(at time.Time) T {
	var zero T
	for i := len(l.values) - 1; i >= 0; i-- {
		if i == 0 || !l.values[i].at.After(at) {
			return l.values[i].value
		}
	}
	return zero
}

// fleet is the set of VMs. It is guarded by the server's mutex.
type fleet struct {
	vms     map[string]VM
	list    lagged[[]VM]
	reboots map[string]time.Time // ends of the reboots in progress
}

func (f *fleet) changed(now time.Time) {
	f.list.set(now, f.sorted())
}

func (f *fleet) sorted() []VM {
	return slices.SortedFunc(maps.Values(f.vms), func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
}

// settle ends the reboots that are due.
func (f *fleet) settle(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(f.reboots)) {
		end := f.reboots[id]
		if now.Before(end) {
			continue
		}
		delete(f.reboots, id)
		if vm, ok := f.vms[id]; ok {
			vm.Away = false
			vm.Boots++
			f.vms[id] = vm
			f.changed(end)
		}
	}
}

// getVMs answers with the lagging list.
func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	s.fleet.settle(now)
	asOf := now.Add(-s.listLag)
	list := List{AsOf: asOf, VMs: slices.Clone(s.fleet.list.asOf(asOf))}
	s.mu.Unlock()
	if list.VMs == nil {
		list.VMs = []VM{}
	}
	tag := listTag(list.VMs)
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.Header().Set(headerAsOf, asOf.Format(time.RFC3339Nano))
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// headerAsOf is the time of the list in a response without a body.
const headerAsOf = "Sassafrasvalve-As-Of"

// listTag returns the entity tag of a list. It is weak: usage alone does not change it.
func listTag(vms []VM) string {
	h := fnv.New64a()
	for _, vm := range vms {
		vm.Usage = Usage{}
		_, _ = fmt.Fprintf(h, "%+v\n", vm) // a hash never fails
	}
	return fmt.Sprintf(`W/"%x"`, h.Sum64())
}

// postVM adds a VM or replaces it.
func (s *Server) postVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if !readJSON(w, r, &vm) {
		return
	}
	if vm.ID == "" {
		http.Error(w, "VM has no ID", http.StatusBadRequest)
		return
	}
	vm.State = cmp.Or(vm.State, StateLive)
	s.mu.Lock()
	s.fleet.vms[vm.ID] = vm
	s.fleet.changed(s.cfg.Clock.Now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, vm)
}

// postVMVerb handles POST /vms/{id}/{reboot|remove|leaving|live|usage}.
func (s *Server) postVMVerb(w http.ResponseWriter, r *http.Request) {
	id, verb := r.PathValue("id"), cmp.Or(r.PathValue("verb"), "reboot")
	var usage Usage
	if verb == "usage" && !readJSON(w, r, &usage) {
		return
	}
	s.mu.Lock()
	status, err := s.changeVM(id, verb, usage)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if verb == "reboot" && s.cfg.OnReboot != nil {
		s.cfg.OnReboot(id)
	}
	w.WriteHeader(status)
}

func (s *Server) changeVM(id, verb string, usage Usage) (int, error) {
	now := s.cfg.Clock.Now()
	s.fleet.settle(now)
	vm, ok := s.fleet.vms[id]
	if !ok {
		return http.StatusNotFound, fmt.Errorf("VM %q does not exist", id)
	}
	switch verb {
	case "reboot":
		if vm.Away {
			return http.StatusConflict, fmt.Errorf("VM %q is being rebooted", id)
		}
		vm.Away = true
		s.fleet.reboots[id] = now.Add(s.cfg.RebootTime)
	case "leaving":
		vm.State = StateLeaving
	case "live":
		vm.State = StateLive
	case "usage":
		vm.Usage = usage
	case "remove":
		delete(s.fleet.vms, id)
		delete(s.fleet.reboots, id)
		s.fleet.changed(now)
		return http.StatusAccepted, nil
	default:
		return http.StatusNotFound, fmt.Errorf("VMs have no verb %q", verb)
	}
	s.fleet.vms[id] = vm
	s.fleet.changed(now)
	return http.StatusAccepted, nil
}
