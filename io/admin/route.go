package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// refusal is the error of a request that had no effect. It is sent as an ErrorBody.
type refusal struct {
	status   int // 4xx or 503
	message  string
	problems []spec.Problem
}

// Error returns the message.
func (e *refusal) Error() string { return e.message }

// refuse returns a refusal with a formatted message.
func refuse(status int, format string, args ...any) *refusal {
	return &refusal{status: status, message: fmt.Sprintf(format, args...)}
}

// handler returns the answer to a request, to be sent as JSON, or an error.
// id is the unescaped {id} of the path, empty for paths without one.
type handler func(r *http.Request, id string) (any, error)

// routes builds the iris application with all routes of the server.
func (s *Server) routes() (*iris.Application, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	// IDs may contain escaped slashes, so paths are matched before they are unescaped.
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithPathEscape,
		iris.WithFireMethodNotAllowed, iris.WithoutBodyConsumptionOnUnmarshal)
	app.OnAnyErrorCode(func(ctx iris.Context) {
		status := ctx.GetStatusCode()
		writeJSON(ctx.ResponseWriter(), status, ErrorBody{
			Message: fmt.Sprintf("%s %s is not part of the operator API: %s", ctx.Method(), ctx.Request().URL.EscapedPath(), http.StatusText(status)),
		})
	})
	for path, h := range s.reads() {
		app.Get(path, s.serve(h))
	}
	for path, h := range s.writes() {
		app.Post(path, s.serve(h))
	}
	// Balancers commonly probe with HEAD.
	app.HandleMany("GET HEAD", PathLive, probe(s.cfg.Health.Live))
	app.HandleMany("GET HEAD", PathReady, probe(s.cfg.Health.Ready))
	app.Get(PathMetrics, s.metrics)
	if s.cfg.Fault != nil {
		app.Post(PathFault, s.serve(s.fault))
	}
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("admin: build the routes: %w", err)
	}
	return app, nil
}

// reads returns the handlers of GET requests by path.
func (s *Server) reads() map[string]handler {
	return map[string]handler{
		PathConfig:   s.getConfig,
		PathRecord:   s.getRecord,
		PathVMs:      s.getVMs,
		PathVM:       s.getVM,
		PathPools:    s.getPools,
		PathServices: s.getServices,
		PathWaves:    s.getWaves,
		PathMembers:  s.getMembers,
		PathJob:      s.getJob,
	}
}

// writes returns the handlers of POST requests by path.
func (s *Server) writes() map[string]handler {
	return map[string]handler{
		PathConfig:     s.apply,
		PathVMDrain:    s.drain,
		PathVMMove:     s.move,
		PathVMActivate: s.activate,
		PathWaves:      s.planWave,
		PathWaveStart:  s.changeWave(fleet.WaveStart),
		PathWavePause:  s.changeWave(fleet.WavePause),
		PathWaveResume: s.changeWave(fleet.WaveResume),
		PathWaveAbort:  s.changeWave(fleet.WaveAbort),
	}
}

// serve wraps a handler: it bounds the requests in progress to maxRequests and sends the handler's answer.
func (s *Server) serve(h handler) iris.Handler {
	return func(ctx iris.Context) {
		select {
		case s.inProgress <- struct{}{}:
			defer func() { <-s.inProgress }()
		default:
			s.answer(ctx, nil, refuse(http.StatusServiceUnavailable,
				"this entry has %d operator requests in progress, its limit; nothing was done: try again", maxRequests))
			return
		}
		id, err := url.PathUnescape(ctx.Params().Get("id"))
		if err != nil {
			s.answer(ctx, nil, refuse(http.StatusBadRequest, "the path is not escaped correctly: %v", err))
			return
		}
		body, err := h(ctx.Request(), id)
		s.answer(ctx, body, err)
	}
}

// answer sends body with status 200, or the error: a *refusal with its own status, any other with status 500.
func (s *Server) answer(ctx iris.Context, body any, err error) {
	var refused *refusal
	switch {
	case err == nil:
		writeJSON(ctx.ResponseWriter(), http.StatusOK, body)
	case errors.As(err, &refused):
		writeJSON(ctx.ResponseWriter(), refused.status, ErrorBody{Message: refused.message, Problems: refused.problems})
	default:
		s.cfg.Log.Error("operator request failed", zap.String("Path", ctx.Request().URL.EscapedPath()), zap.Error(err))
		writeJSON(ctx.ResponseWriter(), http.StatusInternalServerError, ErrorBody{Message: err.Error()})
	}
}

// writeJSON sends a value as JSON. It ignores errors of the connection, which the client sees itself.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"Message":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// probe returns the handler of a health check: it answers 200, or 503 with the error of check.
func probe(check func() error) iris.Handler {
	return func(ctx iris.Context) {
		status, text := http.StatusOK, "ok"
		if err := check(); err != nil {
			status, text = http.StatusServiceUnavailable, err.Error()
		}
		writeText(ctx.ResponseWriter(), status, "text/plain; charset=utf-8", []byte(text+"\n"))
	}
}

// metrics sends all metrics. It renders them first, so that a failure does not cut off a page half way.
func (s *Server) metrics(ctx iris.Context) {
	var page bytes.Buffer
	if err := s.cfg.Metrics.WriteText(&page); err != nil {
		s.answer(ctx, nil, fmt.Errorf("write the metrics: %w", err))
		return
	}
	writeText(ctx.ResponseWriter(), http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", page.Bytes())
}

// writeText sends a text. It ignores errors of the connection, which the client sees itself.
func writeText(w http.ResponseWriter, status int, kind string, data []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// fault passes the body of the request to ServerConfig.Fault.
func (s *Server) fault(r *http.Request, _ string) (any, error) {
	var raw json.RawMessage
	if err := s.decode(r, maxSmallBodyBytes, &raw); err != nil {
		return nil, err
	}
	if err := s.cfg.Fault(raw); err != nil {
		return nil, refuse(http.StatusBadRequest, "the fault was not set: %v", err)
	}
	return struct{}{}, nil
}
