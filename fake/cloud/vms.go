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

// States of a listed VM.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is a VM as the platform lists it.
type VM struct {
	ID     string
	Addr   string // IP:port
	DC     string
	Rack   string
	Region string
	State  string
	Away   bool  `json:",omitempty"` // a reboot is in progress
	Boots  int   `json:",omitempty"` // completed reboots
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

// lagging keeps the recent values of a variable that is reported with a lag.
type lagging[T any] struct {
	values []stamped[T]
}

type stamped[T any] struct {
	at    time.Time
	value T
}

// maxLag bounds the age of the values that lagging keeps.
const maxLag = 10 * time.Minute

func (l *lagging[T]) set(now time.Time, v T) {
	l.values = append(l.values, stamped[T]{now, v})
	keep := 0
	for keep+1 < len(l.values) && now.Sub(l.values[keep+1].at) > maxLag {
		keep++
	}
	l.values = l.values[keep:]
}

// asOf returns the value that was current at a time, or the oldest value if all are newer.
func (l *lagging[T]) asOf(at time.Time) T {
	var zero T
	for i := len(l.values) - 1; i >= 0; i-- {
		if i == 0 || !l.values[i].at.After(at) {
			return l.values[i].value
		}
	}
	return zero
}

// fleet is the set of VMs. The mutex of the server guards it.
type fleet struct {
	vms     map[string]VM
	list    lagging[[]VM]
	reboots map[string]time.Time // end of each reboot in progress, by VM
}

// recordList adds the current VMs to the history of the list.
func (f *fleet) recordList(now time.Time) {
	f.list.set(now, f.sorted())
}

func (f *fleet) sorted() []VM {
	return slices.SortedFunc(maps.Values(f.vms), func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
}

// finishReboots completes the reboots whose end has passed.
func (f *fleet) finishReboots(now time.Time) {
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
			f.recordList(end)
		}
	}
}

// getVMs returns the lagging list.
func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	s.fleet.finishReboots(now)
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

// headerAsOf is the header with the time of the list in a response without a body.
const headerAsOf = "Sassafrasvalve-As-Of"

// listTag returns the entity tag of a list. The tag is weak because it leaves out the usage.
func listTag(vms []VM) string {
	h := fnv.New64a()
	for _, vm := range vms {
		vm.Usage = Usage{}
		_, _ = fmt.Fprintf(h, "%+v\n", vm) // Write of a hash returns no error
	}
	return fmt.Sprintf(`W/"%x"`, h.Sum64())
}

// postVM adds or replaces a VM.
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
	s.fleet.recordList(s.cfg.Clock.Now())
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
	s.fleet.finishReboots(now)
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
		s.fleet.recordList(now)
		return http.StatusAccepted, nil
	default:
		return http.StatusNotFound, fmt.Errorf("VMs have no verb %q", verb)
	}
	s.fleet.vms[id] = vm
	s.fleet.recordList(now)
	return http.StatusAccepted, nil
}
