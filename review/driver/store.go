//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store, as the settings of a small deployment name them.
const (
	recordBytes = 262_144
	callBytes   = 2_097_152
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
	pageKeys    = 500
	keptReplies = 5
)

// mode is how the store treats a call.
type mode int

const (
	serving mode = iota
	busy         // 503, nothing was done
	silent       // no answer, nothing was done
)

// reply is the answer to an append.
type reply struct {
	seq, offset, end int64
}

// producer is the state of one producer in one partition.
type producer struct {
	epoch int64
	last  []reply
}

// partition holds the records of one partition of a topic.
type partition struct {
	writing   sync.Mutex // held for the time of an append
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
}

// store is a stand-in of the platform's log.
type store struct {
	rec *recorder

	mu       sync.Mutex
	changed  *sync.Cond
	parts    map[string]*partition
	modeOf   func(topic string, part int) mode
	lapse    bool                 // entries of workers also lapse while the store is down
	heard    map[string]time.Time // last report by worker
	reportAt time.Duration        // interval of the workers' reports
	ended    chan struct{}
}

func newStore(rec *recorder, heartbeat time.Duration) *store {
	s := &store{
		rec: rec, parts: map[string]*partition{}, heard: map[string]time.Time{}, reportAt: heartbeat,
		modeOf: func(string, int) mode { return serving }, ended: make(chan struct{}),
	}
	s.changed = sync.NewCond(&s.mu)
	go s.wakeLoop()
	go s.expiryLoop()
	return s
}

// setMode sets how calls are treated, by topic and partition.
func (s *store) setMode(f func(topic string, part int) mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == nil {
		f = func(string, int) mode { return serving }
	}
	s.modeOf = f
	s.changed.Broadcast()
}

func (s *store) mode(topic string, part int) mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modeOf(topic, part)
}

// wakeLoop wakes the waiting reads, which check their deadlines.
func (s *store) wakeLoop() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(10 * time.Millisecond):
			s.changed.Broadcast()
		}
	}
}

// expiryLoop removes the entries of workers that have been silent for three intervals.
func (s *store) expiryLoop() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		if s.modeOf("keyed.servers", 0) == serving || s.lapse {
			for id, at := range s.heard {
				if time.Since(at) > 3*s.reportAt {
					delete(s.heard, id)
					s.putLocked("keyed.servers", id, nil)
					s.rec.log("store: entry of worker %s expired", id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) part(topic string, part int) *partition {
	key := topic + "/" + strconv.Itoa(part)
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
		s.parts[key] = p
	}
	return p
}

// put appends a keyed record, as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(topic, key, value)
}

func (s *store) putLocked(topic, key string, value []byte) {
	rec := append([]byte{byte(len(key))}, key...)
	s.part(topic, 0).add(append(rec, value...))
	s.changed.Broadcast()
}

// report stores the report of a worker, unless the store does not serve.
func (s *store) report(id string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.modeOf("keyed.servers", 0) != serving {
		return false
	}
	s.heard[id] = time.Now()
	s.putLocked("keyed.servers", id, value)
	return true
}

// leave removes the entry of a worker that has left.
func (s *store) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heard, id)
	s.putLocked("keyed.servers", id, nil)
}

func (p *partition) add(rec []byte) {
	n := int(rec[0])
	key := string(rec[1 : 1+n])
	if len(rec) == 1+n {
		delete(p.newest, key)
	} else {
		p.newest[key] = len(p.records)
	}
	p.records = append(p.records, rec)
}

// ServeHTTP serves the calls of the entries.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, part := q.Get("topic"), int(number(q.Get("part")))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if !s.allow(w, r, topic, part) {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r, topic, part, body)
	case "GET /log-read":
		s.read(w, r, topic, part)
	case "GET /log-newest":
		s.readNewest(w, r, topic, part)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// allow answers a call as the mode of its partition demands. It returns true if the call is served.
func (s *store) allow(w http.ResponseWriter, r *http.Request, topic string, part int) bool {
	switch s.mode(topic, part) {
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case silent:
		select {
		case <-r.Context().Done():
		case <-s.ended:
		}
		panic(http.ErrAbortHandler)
	default:
		return true
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic string, part int, body []byte) {
	q := r.URL.Query()
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if len(body) > callBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var records [][]byte
	for b := body; len(b) > 0; {
		if len(b) < 4 || int(binary.BigEndian.Uint32(b)) > len(b)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > recordBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		records, b = append(records, b[4:4+n]), b[4+n:]
	}
	s.mu.Lock()
	p := s.part(topic, part)
	s.mu.Unlock()
	p.writing.Lock()
	defer p.writing.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(p.records))
	name := q.Get("producer")
	epoch, seq := number(q.Get("epoch")), number(q.Get("seq"))
	prod := p.producers[name]
	if name != "" && prod != nil {
		if epoch < prod.epoch {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == prod.epoch {
			for _, l := range prod.last {
				if l.seq == seq {
					writeJSON(w, http.StatusOK, map[string]any{"offset": l.offset, "end": l.end})
					return
				}
			}
			if expected := prod.last[len(prod.last)-1].seq + 1; seq != expected {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": expected})
				return
			}
		}
	}
	if at := q.Get("at"); at != "" && number(at) != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for _, rec := range records {
		p.add(rec)
		s.note(topic, part, rec)
	}
	a := reply{seq: seq, offset: end, end: int64(len(p.records))}
	if name != "" {
		if prod == nil || epoch > prod.epoch {
			prod = &producer{epoch: epoch}
			p.producers[name] = prod
		}
		prod.last = append(prod.last, a)
		prod.last = prod.last[max(len(prod.last)-keptReplies, 0):]
	}
	s.changed.Broadcast()
	writeJSON(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
}

// note writes an appended record's key to the record of the run.
func (s *store) note(topic string, part int, rec []byte) {
	key := string(rec[1 : 1+int(rec[0])])
	if strings.Contains(topic, "owners") {
		return // claims are renewed twice a second
	}
	s.rec.log("store: %s/%d key %s, %d bytes of value", topic, part, key, len(rec)-1-len(key))
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, part int) {
	q := r.URL.Query()
	from := int(number(q.Get("from")))
	until := time.Now().Add(min(time.Duration(number(q.Get("wait_ms")))*time.Millisecond, 30*time.Second))
	s.mu.Lock()
	p := s.part(topic, part)
	for len(p.records) <= from && time.Now().Before(until) && r.Context().Err() == nil {
		s.changed.Wait()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range p.records[min(from, len(p.records)):] {
		if len(out) > 1<<20 {
			break
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
	}
	s.mu.Unlock()
	if s.allow(w, r, topic, part) {
		_, _ = w.Write(out)
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request, topic string, part int) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	p := s.part(topic, part)
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageKeys
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), pageKeys)] {
		rec := p.records[p.newest[k]]
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(rec[1+len(k):]), "offset": p.newest[k],
		})
	}
	end := len(p.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}
