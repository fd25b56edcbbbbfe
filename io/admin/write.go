package admin

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// Limits of the texts that the state keeps in the history of each VM.
const (
	maxWriterBytes = 128
	maxReasonBytes = 1024
)

// writeRequest is an operator's request to append a record.
type writeRequest struct {
	id, writer, reason string
	kind               fleet.Kind
	// setPayload sets the payload of the record, or returns why the fold would reject it.
	// It is not called if a record with the ID is already folded.
	setPayload func(st *fleet.State, r *fleet.Record) error
}

// submit appends the record of a request unless a record with its ID is already folded, and returns the outcome of
// the first record with that ID.
func (s *Server) submit(ctx context.Context, wr writeRequest) (Decision, error) {
	if err := wr.check(); err != nil {
		return Decision{}, err
	}
	rec := fleet.Record{
		ID: wr.id, Kind: wr.kind, Version: fleet.RecordVersion,
		Writer: wr.writer, At: s.cfg.Clock.Now(), Reason: wr.reason,
	}
	var d Decision
	var known bool
	var err error
	s.cfg.State.View(func(st *fleet.State) {
		if d, known, err = findDecision(st, wr); known || err != nil {
			return
		}
		if st.ReadOnly() {
			err = refuse(http.StatusServiceUnavailable,
				"this entry may not decide: the log asks for record version %d, this program has %d; ask an entry with a newer program",
				st.MinVersion, fleet.RecordVersion)
			return
		}
		err = wr.setPayload(st, &rec)
	})
	if known || err != nil {
		return d, err
	}
	return s.append(ctx, wr, rec)
}

// check returns a refusal if the request is invalid in every state.
func (wr writeRequest) check() error {
	switch u, err := uuid.Parse(wr.id); {
	case err != nil || u.String() != wr.id:
		return refuse(http.StatusBadRequest, "ID %q is not a UUID in lower case with dashes: the client chooses a new one for each record", wr.id)
	case wr.writer == "" || len(wr.writer) > maxWriterBytes:
		return refuse(http.StatusBadRequest, "Writer must have 1 to %d bytes: set the operator's name", maxWriterBytes)
	case len(wr.reason) > maxReasonBytes:
		return refuse(http.StatusBadRequest, "Reason is longer than %d bytes: shorten it", maxReasonBytes)
	}
	return nil
}

// findDecision returns the outcome of the first record with the ID of a request, and false if none is folded.
// It returns a refusal if that record is of another kind.
func findDecision(st *fleet.State, wr writeRequest) (Decision, bool, error) {
	res, ok := st.ResultOf(wr.id)
	if !ok {
		return Decision{}, false, nil
	}
	if res.Kind != wr.kind {
		return Decision{}, false, refuse(http.StatusConflict,
			"ID %s belongs to a %s record at offset %d: choose a new ID", wr.id, res.Kind, res.Offset)
	}
	return newDecision(st, wr.id, res), true, nil
}

// newDecision returns the outcome of a folded record as a Decision.
func newDecision(st *fleet.State, id string, res fleet.Result) Decision {
	d := Decision{ID: id, Outcome: Rejected, Offset: res.Offset, Reason: res.Reason}
	if res.Accepted {
		d.Outcome = Accepted
	}
	if res.Accepted && res.Kind == fleet.KindConfigure && st.Config.Offset == res.Offset {
		d.Version = st.Config.Version
	}
	return d
}

// append appends a record and returns its outcome. The append continues if the client disconnects, because the
// client may query another entry for the outcome.
func (s *Server) append(ctx context.Context, wr writeRequest, rec fleet.Record) (Decision, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	res, failure := s.cfg.Appender.Append(ctx, rec)
	d := Decision{ID: wr.id, Outcome: res.Outcome, Offset: res.Offset, Reason: res.Reason}
	if failure != nil {
		d.Reason = failure.Error()
		s.cfg.Log.Warn("append of an operator's record failed", zap.String("ID", wr.id), zap.String("Kind", string(wr.kind)), zap.Error(failure))
	}
	// The folded state has the outcome of the first record with this ID even if the appender does not know it.
	var first Decision
	var known bool
	var conflict error
	s.cfg.State.View(func(st *fleet.State) { first, known, conflict = findDecision(st, wr) })
	switch {
	case known:
		return first, nil
	case conflict != nil: // a record of another kind with the same ID came first, so this one has no effect
		return Decision{ID: wr.id, Outcome: Rejected, Reason: conflict.Error()}, nil
	case d.Outcome == NotAppended:
		return Decision{}, refuse(http.StatusServiceUnavailable, "the record was not appended: %s; try again later", d.Reason)
	case failure != nil || d.Outcome != Accepted && d.Outcome != Rejected:
		d.Outcome, d.Offset = Unknown, 0
	}
	return d, nil
}

// apply handles an ApplyRequest.
func (s *Server) apply(r *http.Request, _ string) (any, error) {
	var req ApplyRequest
	if err := s.decode(r, MaxBodyBytes, &req); err != nil {
		return nil, err
	}
	if req.Base < 0 {
		return nil, refuse(http.StatusBadRequest, "Base %d is not a version", req.Base)
	}
	problems := spec.Validate(req.Fleet)
	d, err := s.submit(r.Context(), writeRequest{
		id: req.ID, writer: req.Writer, reason: req.Reason, kind: fleet.KindConfigure,
		setPayload: func(_ *fleet.State, rec *fleet.Record) error {
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
		d.Version = req.Base + 1 // computed, since a later configuration may be in force by now
	}
	return d, err
}

// drain handles a VMRequest that takes a VM out of routing.
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

// move handles a VMRequest that drains a VM, which the controller then puts into another pool.
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

// vmRequest decodes the body of a VMRequest.
func (s *Server) vmRequest(r *http.Request) (VMRequest, error) {
	var req VMRequest
	err := s.decode(r, maxSmallBodyBytes, &req)
	return req, err
}

// submitDrain appends a Drain record unless the folded state refuses it.
func (s *Server) submitDrain(ctx context.Context, req VMRequest, d fleet.Drain) (Decision, error) {
	return s.submit(ctx, writeRequest{
		id: req.ID, writer: req.Writer, reason: req.Reason, kind: fleet.KindDrain,
		setPayload: func(st *fleet.State, rec *fleet.Record) error {
			var err error
			if d.Gen, err = expectedGen(st, d.VM, d.Gen); err != nil {
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

// activate handles a VMRequest that returns a VM to routing.
func (s *Server) activate(r *http.Request, id string) (any, error) {
	req, err := s.vmRequest(r)
	if err != nil {
		return nil, err
	}
	if req.To != "" || req.Reboot {
		return nil, refuse(http.StatusBadRequest, "an activation takes neither To nor Reboot")
	}
	a := fleet.Activate{VM: id, Gen: req.Gen}
	return s.submit(r.Context(), writeRequest{
		id: req.ID, writer: req.Writer, reason: req.Reason, kind: fleet.KindActivate,
		setPayload: func(st *fleet.State, rec *fleet.Record) error {
			var err error
			if a.Gen, err = expectedGen(st, a.VM, a.Gen); err != nil {
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

// expectedGen returns gen, or the current generation of the VM if gen is 0.
func expectedGen(st *fleet.State, id string, gen int64) (int64, error) {
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

// planWave handles a WavePlanRequest. As for all requests about waves, only the fold decides whether it applies:
// an entry whose state lags may not have a wave that was just planned.
func (s *Server) planWave(r *http.Request, _ string) (any, error) {
	var req WavePlanRequest
	if err := s.decode(r, maxSmallBodyBytes, &req); err != nil {
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
		if err := s.decode(r, maxSmallBodyBytes, &req); err != nil {
			return nil, err
		}
		return s.submitWave(r.Context(), req.ID, req.Writer, req.Reason, fleet.WaveChange{ID: id, Action: action})
	}
}

// submitWave appends a Wave record.
func (s *Server) submitWave(ctx context.Context, id, writer, reason string, c fleet.WaveChange) (Decision, error) {
	if c.ID == "" || len(c.ID) > spec.MaxNameLength {
		return Decision{}, refuse(http.StatusBadRequest, "the name of a wave must have 1 to %d bytes", spec.MaxNameLength)
	}
	return s.submit(ctx, writeRequest{
		id: id, writer: writer, reason: reason, kind: fleet.KindWave,
		setPayload: func(_ *fleet.State, rec *fleet.Record) error {
			rec.Wave = &c
			return nil
		},
	})
}
