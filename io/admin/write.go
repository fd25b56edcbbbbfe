package admin

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// Bounds of the texts that the state keeps in the history of each VM, in bytes.
const (
	maxWriterBytes = 128
	maxReasonBytes = 1024
)

// order is a request to append a record.
type order struct {
	id, writer, reason string
	kind               fleet.Kind
	// fill sets the payload of the record, or returns why the fold would reject it.
	// It is not called if the ID is already folded.
	fill func(st *fleet.State, r *fleet.Record) error
}

// submit appends the record of an order unless a record with its ID is folded already,
// and returns the outcome of the first record with that ID.
func (s *Server) submit(ctx context.Context, o order) (Decision, error) {
	if err := o.check(); err != nil {
		return Decision{}, err
	}
	rec := fleet.Record{
		ID: o.id, Kind: o.kind, Version: fleet.RecordVersion,
		Writer: o.writer, At: s.cfg.Clock.Now(), Reason: o.reason,
	}
	var d Decision
	var known bool
	var err error
	s.cfg.State.View(func(st *fleet.State) {
		if d, known, err = folded(st, o); known || err != nil {
			return
		}
		if st.ReadOnly() {
			err = refuse(http.StatusServiceUnavailable,
				"this entry may not decide: the log asks for record version %d, this program has %d; ask an entry with a newer program",
				st.MinVersion, fleet.RecordVersion)
			return
		}
		err = o.fill(st, &rec)
	})
	if known || err != nil {
		return d, err
	}
	return s.append(ctx, o, rec)
}

// check returns a refusal of an order that no state would allow.
func (o order) check() error {
	switch u, err := uuid.Parse(o.id); {
	case err != nil || u.String() != o.id:
		return refuse(http.StatusBadRequest, "ID %q is not a UUID in lower case with dashes: the client chooses a new one for each record", o.id)
	case o.writer == "" || len(o.writer) > maxWriterBytes:
		return refuse(http.StatusBadRequest, "Writer must have 1 to %d bytes: set the operator's name", maxWriterBytes)
	case len(o.reason) > maxReasonBytes:
		return refuse(http.StatusBadRequest, "Reason is longer than %d bytes: shorten it", maxReasonBytes)
	}
	return nil
}

// folded returns the outcome of the first record with the ID of an order, and false if none is folded.
func folded(st *fleet.State, o order) (Decision, bool, error) {
	res, ok := st.ResultOf(o.id)
	if !ok {
		return Decision{}, false, nil
	}
	if res.Kind != o.kind {
		return Decision{}, false, refuse(http.StatusConflict,
			"ID %s belongs to a %s record at offset %d: choose a new ID", o.id, res.Kind, res.Offset)
	}
	return decisionOf(st, o.id, res), true, nil
}

// decisionOf returns the outcome of a folded record.
func decisionOf(st *fleet.State, id string, res fleet.Result) Decision {
	d := Decision{ID: id, Outcome: Rejected, Offset: res.Offset, Reason: res.Reason}
	if res.Accepted {
		d.Outcome = Accepted
	}
	if res.Accepted && res.Kind == fleet.KindConfigure && st.Config.Offset == res.Offset {
		d.Version = st.Config.Version
	}
	return d
}

// append appends a record and returns its outcome. The append goes on if the client
// disconnects, because another entry may be asked for its outcome.
func (s *Server) append(ctx context.Context, o order, rec fleet.Record) (Decision, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	res, failure := s.cfg.Appender.Append(ctx, rec)
	d := Decision{ID: o.id, Outcome: res.Outcome, Offset: res.Offset, Reason: res.Reason}
	if failure != nil {
		d.Reason = failure.Error()
		s.cfg.Log.Warn("append failed", zap.String("ID", o.id), zap.String("Kind", string(o.kind)), zap.Error(failure))
	}
	// The fold knows the first record with this ID, even if the appender does not.
	var first Decision
	var known bool
	var conflict error
	s.cfg.State.View(func(st *fleet.State) { first, known, conflict = folded(st, o) })
	switch {
	case known:
		return first, nil
	case conflict != nil: // a request with the same ID was faster, so this record has no effect
		return Decision{ID: o.id, Outcome: Rejected, Reason: conflict.Error()}, nil
	case d.Outcome == NotAppended:
		return Decision{}, refuse(http.StatusServiceUnavailable, "the record was not appended: %s; try again later", d.Reason)
	case failure != nil || d.Outcome != Accepted && d.Outcome != Rejected:
		d.Outcome, d.Offset = Unknown, 0
	}
	return d, nil
}

// apply asks for a new configuration.
func (s *Server) apply(r *http.Request, _ string) (any, error) {
	var req ApplyRequest
	if err := s.decode(r, MaxBody, &req); err != nil {
		return nil, err
	}
	if req.Base < 0 {
		return nil, refuse(http.StatusBadRequest, "Base %d is not a version", req.Base)
	}
	problems := spec.Validate(req.Fleet)
	d, err := s.submit(r.Context(), order{
		id: req.ID, writer: req.Writer, reason: req.Reason, kind: fleet.KindConfigure,
		fill: func(_ *fleet.State, rec *fleet.Record) error {
			if len(problems) > 0 {
				return &refusal{
					status: http.StatusBadRequest, message: "the configuration is not valid; nothing was appended", problems: problems,
				}
			}
			rec.Configure = &fleet.Configure{Base: req.Base, Fleet: req.Fleet}
			return nil
		},
	})
	if err == nil && d.Outcome == Accepted {
		d.Version = req.Base + 1 // a later configuration may be in force by now
	}
	return d, err
}

// drain takes a VM out of routing.
func (s *Server) drain(r *http.Request, id string) (any, error) {
	req, err := s.vmRequest(r)
	if err != nil {
		return nil, err
	}
	if req.To != "" {
		return nil, refuse(http.StatusBadRequest, "To belongs to a move: ask %s", withID(PathVMMove, id))
	}
	d := fleet.Drain{VM: id, Gen: req.Gen, Purpose: fleet.PurposeHold}
	if req.Reboot {
		d.Purpose = fleet.PurposeReboot
	}
	return s.submitDrain(r.Context(), req, d)
}

// move drains a VM and has the controller put it into another pool.
func (s *Server) move(r *http.Request, id string) (any, error) {
	req, err := s.vmRequest(r)
	if err != nil {
		return nil, err
	}
	if req.To == "" || req.Reboot {
		return nil, refuse(http.StatusBadRequest, "a move needs To, the target pool, and takes no Reboot")
	}
	return s.submitDrain(r.Context(), req, fleet.Drain{VM: id, Gen: req.Gen, Purpose: fleet.PurposeMove, To: req.To})
}

// vmRequest reads the body of a request about a VM.
func (s *Server) vmRequest(r *http.Request) (VMRequest, error) {
	var req VMRequest
	err := s.decode(r, maxSmallBody, &req)
	return req, err
}

// submitDrain appends a drain.
func (s *Server) submitDrain(ctx context.Context, req VMRequest, d fleet.Drain) (Decision, error) {
	return s.submit(ctx, order{
		id: req.ID, writer: req.Writer, reason: req.Reason, kind: fleet.KindDrain,
		fill: func(st *fleet.State, rec *fleet.Record) error {
			var err error
			if d.Gen, err = genOf(st, d.VM, d.Gen); err != nil {
				return err
			}
			if err := st.CheckDrain(d); err != nil {
				return refuse(http.StatusConflict, "%v; nothing was appended", err)
			}
			rec.Drain = &d
			return nil
		},
	})
}

// activate returns a VM to routing.
func (s *Server) activate(r *http.Request, id string) (any, error) {
	req, err := s.vmRequest(r)
	if err != nil {
		return nil, err
	}
	if req.To != "" || req.Reboot {
		return nil, refuse(http.StatusBadRequest, "an activation takes neither To nor Reboot")
	}
	a := fleet.Activate{VM: id, Gen: req.Gen}
	return s.submit(r.Context(), order{
		id: req.ID, writer: req.Writer, reason: req.Reason, kind: fleet.KindActivate,
		fill: func(st *fleet.State, rec *fleet.Record) error {
			var err error
			if a.Gen, err = genOf(st, a.VM, a.Gen); err != nil {
				return err
			}
			if err := st.CheckActivate(a); err != nil {
				return refuse(http.StatusConflict, "%v; nothing was appended", err)
			}
			rec.Activate = &a
			return nil
		},
	})
}

// genOf returns the expected generation, or the one in force if none is given.
func genOf(st *fleet.State, id string, gen int64) (int64, error) {
	vm := st.VMs[id]
	switch {
	case vm == nil:
		return 0, refuse(http.StatusNotFound, "VM %q does not exist", id)
	case gen == 0:
		return vm.Gen, nil
	default:
		return gen, nil
	}
}

// planWave plans a maintenance wave. Whether it applies is left to the fold alone, as for
// all requests about waves: an entry that lags may not know a wave that was just planned.
func (s *Server) planWave(r *http.Request, _ string) (any, error) {
	var req WavePlanRequest
	if err := s.decode(r, maxSmallBody, &req); err != nil {
		return nil, err
	}
	return s.submitWave(r.Context(), req.ID, req.Writer, req.Reason, fleet.WaveChange{
		ID: req.Wave, Action: fleet.WavePlan, Pools: req.Pools,
		Batch: req.Batch, MaxBatch: req.MaxBatch, MaxFailed: req.MaxFailed,
	})
}

// changeWave returns the handler of an action on a wave.
func (s *Server) changeWave(action fleet.WaveAction) handler {
	return func(r *http.Request, id string) (any, error) {
		var req WaveRequest
		if err := s.decode(r, maxSmallBody, &req); err != nil {
			return nil, err
		}
		return s.submitWave(r.Context(), req.ID, req.Writer, req.Reason, fleet.WaveChange{ID: id, Action: action})
	}
}

// submitWave appends a change of a wave.
func (s *Server) submitWave(ctx context.Context, id, writer, reason string, c fleet.WaveChange) (Decision, error) {
	if c.ID == "" || len(c.ID) > spec.MaxNameLength {
		return Decision{}, refuse(http.StatusBadRequest, "the name of a wave must have 1 to %d bytes", spec.MaxNameLength)
	}
	return s.submit(ctx, order{
		id: id, writer: writer, reason: reason, kind: fleet.KindWave,
		fill: func(_ *fleet.State, rec *fleet.Record) error {
			rec.Wave = &c
			return nil
		},
	})
}
