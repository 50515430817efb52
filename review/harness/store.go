package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPageItems and maxPageBytes bound a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// storeLatency is how long the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	maxWatchWait = 30 * time.Second
)

// item is an entry of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// store is a stand-in of the platform's store. It keeps the history of the last
// retention.
type store struct {
	retention time.Duration

	mu sync.Mutex
	// era rises by one each time the store comes back from a copy.
	era       uint64
	revision  uint64
	compacted uint64
	items     map[string]item
	history   []item
	changed   chan struct{}
}

func newStore(retention time.Duration) *store {
	return &store{retention: retention, era: 1, revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes an item. The write is acknowledged when put returns.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(item{Key: key, Value: text})
}

func (s *store) remove(key string) { s.apply(item{Key: key, Deleted: true}) }

func (s *store) apply(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	switch old, ok := s.items[i.Key]; {
	case i.Deleted:
		delete(s.items, i.Key)
	case ok:
		i.Created = old.Created
		s.items[i.Key] = i
	default:
		i.Created = i.Revision
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeCopy is a copy of what the store holds.
type storeCopy struct {
	revision uint64
	items    map[string]item
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, items: maps.Clone(s.items)}
}

// restore brings the store back from a copy. Later revisions are given out again.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items = c.revision, maps.Clone(c.items)
	s.history = slices.DeleteFunc(s.history, func(i item) bool { return i.Revision > c.revision })
	s.compacted = min(s.compacted, c.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// expire drops the history that is older than the retention. The caller holds mu.
func (s *store) expire() {
	n := 0
	for n < len(s.history) && time.Since(s.history[n].at) > s.retention {
		s.compacted = s.history[n].Revision
		n++
	}
	s.history = s.history[n:]
}

// since returns the changes after a revision, and gone if its history was dropped.
func (s *store) since(prefix string, after uint64) (events []item, revision uint64, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	events = []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, after < s.compacted || after > s.revision
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		i := s.items[key]
		if len(page) == maxPageItems || len(page) > 0 && size+len(i.Value) > maxPageBytes {
			break
		}
		page, size = append(page, i), size+len(i.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": page, "hasMore": len(page) < len(keys), protocol.AtRevision: revision})
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, protocol.AtRevision: revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get(protocol.Wait))
	if err != nil || waitErr != nil {
		http.Error(w, "malformed query", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for expired := false; ; {
		events, revision, changed, gone := s.since(q.Get("prefix"), after)
		switch {
		case gone:
			http.Error(w, "history dropped", http.StatusGone)
			return
		case len(events) > 0 || expired:
			writeJSON(w, map[string]any{"events": events, protocol.AtRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// door is the address at which one machine reaches the store.
type door struct {
	store *store
	// refuses makes the store turn the machine away with status 503.
	refuses atomic.Bool
	// calls counts the calls, and largest is the size of the largest answer.
	calls, refused, largest atomic.Int64
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	time.Sleep(storeLatency)
	w = &eraWriter{ResponseWriter: w, store: d.store}
	if d.refuses.Load() {
		d.refused.Add(1)
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return
	}
	counted := &countingWriter{ResponseWriter: w}
	switch r.URL.Path {
	case protocol.PathKey:
		d.store.handleKey(counted, r)
	case protocol.PathRange:
		d.store.handleRange(counted, r)
	case protocol.PathWatch:
		d.store.handleWatch(counted, r)
	default:
		http.NotFound(w, r)
	}
	for {
		largest := d.largest.Load()
		if counted.n <= largest || d.largest.CompareAndSwap(largest, counted.n) {
			return
		}
	}
}

// eraWriter names the era of the store in an answer.
type eraWriter struct {
	http.ResponseWriter
	store *store
	named bool
}

func (w *eraWriter) WriteHeader(status int) {
	if !w.named {
		w.named = true
		w.Header().Set(protocol.Era, strconv.FormatUint(w.store.currentEra(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(p []byte) (int, error) {
	if !w.named {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

type countingWriter struct {
	http.ResponseWriter
	n int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.n += int64(n)
	return n, err
}

// link is the listener at which one machine reaches the store. Its connections may go silent
// for good, while new ones work.
type link struct {
	net.Listener

	mu    sync.Mutex
	conns map[*linkConn]struct{}
}

// linkConn is a connection that may have gone silent: nothing passes in either direction,
// and its end isn't seen either.
type linkConn struct {
	net.Conn
	link   *link
	silent chan struct{}
}

func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &linkConn{Conn: c, link: l, silent: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// silence makes all open connections go silent and returns their number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	for c := range l.conns {
		close(c.silent)
		delete(l.conns, c)
	}
	return n
}

func (c *linkConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		select {} // what arrives is lost
	}
	return n, err
}

func (c *linkConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil // what is sent is lost
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Close() error {
	if c.isSilent() {
		return nil
	}
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// serveDoor serves the door at the address.
func serveDoor(d *door, address string) (*http.Server, *link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for the store: %w", err)
	}
	l := &link{Listener: listener, conns: make(map[*linkConn]struct{})}
	server := &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return server, l, nil
}
