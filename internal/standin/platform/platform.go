// Package platform is a small stand-in of the platform that heatherlift runs
// on: a configuration service that proxies can only read and watch, and a list
// of instances that lags. Operators write through PUT and DELETE.
//
//	GET    /v1/values/KEY[?after=REVISION&wait=DURATION]
//	PUT    /v1/values/KEY          If-Match: REVISION makes it conditional
//	GET    /v1/instances
//	PUT    /v1/instances/ID
//	DELETE /v1/instances/ID
//	PUT    /standin/fault          {"mode": "none|down|stale|slow"}
//	GET    /standin/counters
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"heatherlift.example/heatherlift/internal/source"
)

// Fault is a failure that the stand-in simulates.
type Fault string

// Faults of the stand-in.
const (
	FaultNone  Fault = "none"
	FaultDown  Fault = "down"
	FaultStale Fault = "stale"
	FaultSlow  Fault = "slow"
)

const (
	maxValueBytes = 1 << 20
	maxWatchWait  = time.Minute
	slowDelay     = 2 * time.Second
	rateWindow    = time.Second
)

// Counters counts the calls of readers.
type Counters struct {
	Gets      uint64 `json:"gets"`
	Watches   uint64 `json:"watches"`
	Instances uint64 `json:"instances"`
	Refused   uint64 `json:"refused"`
	// PeakPerSecond is the highest number of calls in one second.
	PeakPerSecond uint64 `json:"peak_per_second"`
}

// Total returns the number of all calls.
func (c Counters) Total() uint64 {
	return c.Gets + c.Watches + c.Instances + c.Refused
}

type value struct {
	revision uint64
	data     []byte
}

type listed struct {
	instance source.Instance
	since    time.Time
	removed  bool
}

// Platform is the stand-in's state. It is safe for concurrent use.
type Platform struct {
	lag time.Duration
	// limit bounds the calls in one second; 0 means none.
	limit uint64

	mu       sync.Mutex
	revision uint64
	values   map[string]value
	stale    map[string]value
	// staleSince is when the list of instances ceased to change, zero while
	// it does change.
	staleSince time.Time
	instances  map[string][]listed
	fault      Fault
	changed    chan struct{}
	counters   Counters
	window     time.Time
	inWindow   uint64
}

// New returns an empty platform whose instance list shows changes after lag
// and which refuses calls beyond limit in one second, if limit is not 0.
func New(lag time.Duration, limit uint64) *Platform {
	return &Platform{
		lag:       lag,
		limit:     limit,
		values:    make(map[string]value),
		instances: make(map[string][]listed),
		fault:     FaultNone,
		changed:   make(chan struct{}),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/values/*", p.getValue)
	r.Put("/v1/values/*", p.putValue)
	r.Get("/v1/instances", p.getInstances)
	r.Put("/v1/instances/{id}", p.putInstance)
	r.Delete("/v1/instances/{id}", p.deleteInstance)
	r.Put("/standin/fault", p.putFault)
	r.Get("/standin/counters", p.getCounters)
	return r
}

// Put stores a value and returns its revision.
func (p *Platform) Put(key string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.put(key, data)
}

func (p *Platform) put(key string, data []byte) uint64 {
	p.revision++
	p.values[key] = value{revision: p.revision, data: data}
	p.wake()
	return p.revision
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetFault makes the stand-in fail in the given way from now on.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.stale = nil
	p.staleSince = time.Time{}
	if f == FaultStale {
		p.staleSince = time.Now()
		p.stale = maps.Clone(p.values)
	}
	p.wake()
}

// Counters returns the calls so far.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// admit counts a call and reports whether it may go on.
func (p *Platform) admit(w http.ResponseWriter, counter *uint64) bool {
	p.mu.Lock()
	fault := p.fault
	over := p.countLocked()
	if fault == FaultDown || over {
		p.counters.Refused++
		p.mu.Unlock()
		refuse(w, over)
		return false
	}
	*counter++
	p.mu.Unlock()
	if fault == FaultSlow {
		time.Sleep(slowDelay)
	}
	return true
}

func (p *Platform) countLocked() bool {
	if now := time.Now(); now.Sub(p.window) >= rateWindow {
		p.window = now
		p.inWindow = 0
	}
	p.inWindow++
	p.counters.PeakPerSecond = max(p.counters.PeakPerSecond, p.inWindow)
	return p.limit != 0 && p.inWindow > p.limit
}

func refuse(w http.ResponseWriter, over bool) {
	if over {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	http.Error(w, "down", http.StatusServiceUnavailable)
}

// lookup returns the visible value of key and a channel that closes on change.
func (p *Platform) lookup(key string) (value, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.stale != nil {
		values = p.stale
	}
	v, ok := values[key]
	return v, ok, p.changed
}

func (p *Platform) getValue(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	counter := &p.counters.Gets
	if wait > 0 {
		counter = &p.counters.Watches
	}
	if !p.admit(w, counter) {
		return
	}
	timeout := time.NewTimer(min(wait, maxWatchWait))
	defer timeout.Stop()
	for {
		v, ok, changed := p.lookup(key)
		if ok && v.revision > after {
			w.Header().Set(source.RevisionHeader, strconv.FormatUint(v.revision, 10))
			_, _ = w.Write(v.data)
			return
		}
		if !ok && wait == 0 {
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
			if p.isDown() {
				refuse(w, false)
				return
			}
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault == FaultDown
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(data) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if match := r.Header.Get("If-Match"); match != "" && match != strconv.FormatUint(p.values[key].revision, 10) {
		http.Error(w, "changed meanwhile", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set(source.RevisionHeader, strconv.FormatUint(p.put(key, data), 10))
}

// getInstances lists the instances as they were a lag ago.
func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, &p.counters.Instances) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []source.Instance{}
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		if entry, ok := visible(p.instances[id], p.listTime()); ok {
			list = append(list, entry)
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(text)
}

// listTime is the time whose list readers see.
func (p *Platform) listTime() time.Time {
	if !p.staleSince.IsZero() {
		return p.staleSince.Add(-p.lag)
	}
	return time.Now().Add(-p.lag)
}

func visible(history []listed, at time.Time) (source.Instance, bool) {
	for _, entry := range slices.Backward(history) {
		if !entry.since.After(at) {
			return entry.instance, !entry.removed
		}
	}
	return source.Instance{}, false
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance source.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance.ID = chi.URLParam(r, "id")
	p.List(instance)
}

// List puts an instance on the list; readers see it after the lag.
func (p *Platform) List(instance source.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.ID] = append(p.instances[instance.ID], listed{instance: instance, since: time.Now()})
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[id] = append(p.instances[id], listed{since: time.Now(), removed: true})
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Mode Fault `json:"mode"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(body.Mode)
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counters())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
