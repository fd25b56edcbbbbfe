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
	"sync"
	"time"
)

// Limits of the store, as in the settings of an entry.
const (
	recordBytes = 262_144
	callBytes   = 2_097_152
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
)

// Store is a stand-in of the platform's log.
type Store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{} // closed and replaced after each append
	// Delay returns the time that a call takes besides the usual answer time.
	Delay func(r *http.Request) time.Duration
	// Down reports whether the store leaves all calls without an answer at present, and does nothing.
	Down func() bool
	// OnRefused is called for an append that the store refuses because of its size.
	OnRefused func(topic string, part string, record int)
}

type partition struct {
	appendMu sync.Mutex // one append at a time
	records  [][]byte
	newest   map[string]int
	producer map[string]*producer
}

// producer holds the epoch and the last answers of a producer.
type producer struct {
	epoch, seq int64
	answers    map[int64]appendAnswer
}

type appendAnswer struct{ Offset, End int64 }

// NewStore returns an empty store.
func NewStore() *Store { return &Store{parts: map[string]*partition{}, changed: make(chan struct{})} }

func (s *Store) part(topic, part string) *partition {
	key := topic + "/" + part
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, producer: map[string]*producer{}}
		s.parts[key] = p
	}
	return p
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

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put appends a keyed record as the operator or a worker does.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(append(append([]byte{byte(len(key))}, key...), value...))
	s.signal()
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Down != nil && s.Down() {
		<-r.Context().Done()
		return
	}
	wait := answerTime
	if s.Delay != nil {
		wait += s.Delay(r)
	}
	time.Sleep(wait)
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r)
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		s.readNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	var records [][]byte
	total := 0
	for b := body; len(b) > 0; {
		if len(b) < 4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		if n < 1 || n > len(b)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		total += n
		if n > recordBytes || total > callBytes {
			if s.OnRefused != nil {
				s.OnRefused(q.Get("topic"), q.Get("part"), n)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, b[4:4+n])
		b = b[4+n:]
	}
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	p.appendMu.Lock()
	defer p.appendMu.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var pr *producer
	epoch, seq := num(q.Get("epoch")), num(q.Get("seq"))
	if name := q.Get("producer"); name != "" {
		if pr = p.producer[name]; pr == nil {
			pr = &producer{epoch: -1}
			p.producer[name] = pr
		}
		switch {
		case epoch < pr.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > pr.epoch:
		default:
			if a, ok := pr.answers[seq]; ok && seq > pr.seq-5 {
				writeJSON(w, http.StatusOK, map[string]any{"offset": a.Offset, "end": a.End})
				return
			}
			if seq != pr.seq+1 {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": pr.seq + 1})
				return
			}
		}
	}
	end := int64(len(p.records))
	if at := q.Get("at"); at != "" && num(at) != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for _, rec := range records {
		p.add(rec)
	}
	a := appendAnswer{end, int64(len(p.records))}
	if pr != nil {
		if epoch > pr.epoch {
			pr.epoch, pr.answers = epoch, map[int64]appendAnswer{}
		}
		pr.seq = seq
		pr.answers[seq] = a
	}
	s.signal()
	writeJSON(w, http.StatusOK, map[string]any{"offset": a.Offset, "end": a.End})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(num(q.Get("from")))
	maxBytes := 1024 << 10
	if v := num(q.Get("max_kb")); v > 0 {
		maxBytes = int(v) << 10
	}
	timer := time.NewTimer(time.Duration(min(num(q.Get("wait_ms")), 30_000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		changed := s.changed
		if len(p.records) > from || !waiting || num(q.Get("wait_ms")) == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range p.records[min(from, len(p.records)):] {
				if len(out) > 16 && len(out)+len(rec) > maxBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		rec := p.records[p.newest[k]]
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		size += len(rec)
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(rec[1+len(k):]), "offset": p.newest[k],
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

func num(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64) // a missing parameter counts as 0
	return n
}
