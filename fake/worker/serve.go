package worker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sassafrasvalve/core/retry"
)

// headerID is the header with the request ID, which the response repeats.
const headerID = "Sassafrasvalve-Request-Id"

// Answer is the body of a normal response. The response to a path that begins with /echo is the request body instead.
type Answer struct {
	Worker string
	ID     string // of the request
	Method string
	URI    string
	Header http.Header
	Bytes  int // length of the request body
	Run    int // number of runs here of the request's key, or of its ID if it has no key
}

// serve runs one request with the fault that applies to it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	kind, latency, err := s.behaviour(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if kind == KindRefuse {
		s.wait(r, latency)
		s.refuse(w, r)
		return
	}
	if !s.acquireSlot() {
		s.refuse(w, r)
		return
	}
	defer s.releaseSlot()
	if strings.HasPrefix(r.URL.Path, "/stream") && kind == KindNone {
		s.stream(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := s.countRun(r)
	if !s.wait(r, latency) {
		panic(http.ErrAbortHandler) // cut off by the caller or a reboot; a return could send an empty response with status 200
	}
	if kind == KindSilent {
		w.Header().Del(headerID)
	}
	out := body
	if !strings.HasPrefix(r.URL.Path, "/echo") {
		out, _ = json.Marshal(Answer{
			Worker: s.cfg.Name, ID: r.Header.Get(headerID), Method: r.Method, URI: r.RequestURI,
			Header: r.Header, Bytes: len(body), Run: run,
		})
	}
	for name, vs := range r.Trailer {
		w.Header()[http.TrailerPrefix+"Echo-"+name] = vs
	}
	s.answer(w, r, kind, out)
}

// stream sends the request body back chunk by chunk while it arrives.
func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	s.countRun(r)
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	_ = rc.Flush()
	chunk := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(chunk)
		if _, werr := w.Write(chunk[:n]); werr != nil || err != nil {
			return
		}
		_ = rc.Flush()
	}
}

// acquireSlot takes a slot. It returns false if the worker is draining, or if it enforces its slots and none is free.
func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	over := s.count.InUse >= s.cfg.Slots
	if over {
		s.count.OverSlots++
	}
	if s.count.Draining || (over && s.cfg.Enforce) {
		return false
	}
	s.count.InUse++
	s.count.MaxInUse = max(s.count.MaxInUse, s.count.InUse)
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.InUse--
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.count.Refused++
	s.mu.Unlock()
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(retry.HeaderNotRun, "1")
	http.Error(w, "refused before the start", http.StatusServiceUnavailable)
}

// countRun counts a start and returns the number of runs of the request's key, or of its ID if it has no key.
func (s *Server) countRun(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.Ran++
	s.recordTurn(r.Header.Get("Sassafrasvalve-Service"))
	id := r.Header.Get(headerID)
	s.count.IDs[id]++
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return s.count.IDs[id]
	}
	full := r.Header.Get("Sassafrasvalve-Tenant") + "/" + r.Header.Get("Sassafrasvalve-Service") + "/" + key
	s.count.Keys[full]++
	return s.count.Keys[full]
}

// recordTurn records a start for a service. The caller holds mu.
func (s *Server) recordTurn(service string) {
	now := time.Now()
	if n := len(s.count.Turns); n == 0 || s.count.Turns[n-1].Service != service {
		s.count.Turns = append(s.count.Turns, Turn{Service: service, First: now})
	}
	t := &s.count.Turns[len(s.count.Turns)-1]
	t.Last = now
	t.Starts++
}

// wait sleeps for d. It returns false if the request is cancelled or the worker stops before.
func (s *Server) wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
	case <-stop:
	}
	return false
}

// answer writes the response with the fault kind applied.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, kind Kind, out []byte) {
	id := r.Header.Get(headerID)
	h := w.Header()
	switch kind {
	case KindFail:
		http.Error(w, "failed", http.StatusInternalServerError)
	case KindBadRefusal:
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
	case KindNever:
		s.wait(r, time.Hour)
	case KindClose:
		panic(http.ErrAbortHandler)
	case KindCrossed:
		h.Set(headerID, "other-"+id)
		_, _ = w.Write(out)
	case KindForge:
		h.Set(retry.HeaderVerdict, "not-run")
		h.Set("Sassafrasvalve-Anything", "1")
		_, _ = w.Write(out)
	case KindHints:
		h.Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = w.Write(out)
	case KindConnHeaders:
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "1")
		h.Set("Keep-Alive", "timeout=5")
		_, _ = w.Write(out)
	case KindTruncate, KindTruncChunk, KindShort, KindLong, KindDouble, KindLateDouble, KindUnframed, KindSwitch:
		s.answerRaw(w, kind, id, out)
	default:
		h.Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = w.Write(out)
	}
}

// answerRaw writes a response that the server of net/http cannot produce, such as one with wrong framing.
func (s *Server) answerRaw(w http.ResponseWriter, kind Kind, id string, out []byte) {
	nc, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\n"
	half := out[:len(out)/2]
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(out), out)
	second := "HTTP/1.1 200 OK\r\nX-Second: 1\r\nContent-Length: 6\r\n\r\nsecond"
	switch kind {
	case KindTruncate:
		_, _ = fmt.Fprintf(nc, "%sContent-Length: %d\r\n\r\n%s", head, len(out), half)
	case KindTruncChunk:
		_, _ = fmt.Fprintf(nc, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(half), half)
	case KindShort:
		_, _ = fmt.Fprintf(nc, "%sContent-Length: %d\r\n\r\n%s", head, len(out)+7, out)
	case KindUnframed:
		_, _ = fmt.Fprintf(nc, "%s\r\n%s", head, out)
	case KindSwitch:
		_, _ = io.WriteString(nc, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
	case KindLong:
		_, _ = fmt.Fprintf(nc, "%sContent-Length: %d\r\n\r\n%s", head, len(half), out)
		s.answerLaterRequests(nc, rw.Reader)
	case KindDouble:
		_, _ = io.WriteString(nc, whole+second)
		s.answerLaterRequests(nc, rw.Reader)
	case KindLateDouble:
		_, _ = io.WriteString(nc, whole)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(nc, second)
		s.answerLaterRequests(nc, rw.Reader)
	default:
	}
}

// answerLaterRequests serves the next requests on a hijacked connection until it is closed or idle for 5 s.
func (s *Server) answerLaterRequests(nc net.Conn, br *bufio.Reader) {
	for {
		_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.countRun(r)
		out := []byte(r.Header.Get(headerID))
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerID, out, len(out), out); err != nil {
			return
		}
	}
}
