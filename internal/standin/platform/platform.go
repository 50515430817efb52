// Package platform simulates the platform that heatherlift runs on: a
// configuration service that proxies can only read and watch, and an instance
// list that shows changes with a delay. Operators write with PUT and DELETE.
//
//	GET    /v1/values/KEY[?after=REVISION&wait=DURATION]
//	PUT    /v1/values/KEY          conditional with If-Match: REVISION
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

// Fault is a failure mode of the simulated platform.
type Fault string

// Failure modes.
const (
	FaultNone  Fault = "none"
	FaultDown  Fault = "down"  // reads are refused with status 503
	FaultStale Fault = "stale" // reads return the data as of the start of the fault
	FaultSlow  Fault = "slow"  // reads are delayed by slowDelay
)

const (
	maxValueBytes = 1 << 20
	maxWatchWait  = time.Minute
	slowDelay     = 2 * time.Second
	rateWindow    = time.Second
)

// Counters counts the reads since the start of the platform. Writes are not
// counted.
type Counters struct {
	// Gets counts reads of a value without waiting, Watches those that wait for a
	// newer revision, and Instances reads of the instance list.
	Gets      uint64 `json:"gets"`
	Watches   uint64 `json:"watches"`
	Instances uint64 `json:"instances"`
	// Refused counts reads that were refused because of FaultDown or the limit.
	Refused uint64 `json:"refused"`
	// PeakPerSecond is the highest number of reads in a window of one second,
	// refused ones included.
	PeakPerSecond uint64 `json:"peak_per_second"`
}

// Total returns the number of all reads, refused ones included.
func (c Counters) Total() uint64 {
	return c.Gets + c.Watches + c.Instances + c.Refused
}

type revisionedValue struct {
	revision uint64
	data     []byte
}

// listChange is a change of one instance's entry in the instance list: the entry
// is instance, or absent if removed, from since until the next change.
type listChange struct {
	instance source.Instance
	since    time.Time
	removed  bool
}

// Platform is a simulated platform. It is safe for concurrent use.
type Platform struct {
	// lag is the delay until readers see a change of the instance list.
	lag time.Duration
	// limit bounds the reads in one second; 0 means unlimited.
	limit uint64

	mu       sync.Mutex
	revision uint64
	values   map[string]revisionedValue
	// staleValues are the values that readers see under FaultStale, otherwise nil.
	staleValues map[string]revisionedValue
	// frozenSince is the time at which FaultStale froze the instance list; zero
	// if the list is not frozen.
	frozenSince time.Time
	// instances holds the changes of each instance's list entry, the oldest first.
	instances map[string][]listChange
	fault     Fault
	// changed is closed, and replaced, when a value or the fault changes.
	changed     chan struct{}
	counters    Counters
	windowStart time.Time
	windowCalls uint64
}

// New returns an empty platform. Readers of its instance list see changes after
// lag. It refuses reads beyond limit in one second, if limit is not 0.
func New(lag time.Duration, limit uint64) *Platform {
	return &Platform{
		lag:       lag,
		limit:     limit,
		values:    make(map[string]revisionedValue),
		instances: make(map[string][]listChange),
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
	p.values[key] = revisionedValue{revision: p.revision, data: data}
	p.notifyWatchers()
	return p.revision
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetFault sets the failure mode.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.staleValues = nil
	p.frozenSince = time.Time{}
	if f == FaultStale {
		p.frozenSince = time.Now()
		p.staleValues = maps.Clone(p.values)
	}
	p.notifyWatchers()
}

// Counters returns the current call counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// admit counts a read. It refuses the read and returns false if the platform is
// down or the read exceeds the limit; it delays the read under FaultSlow.
func (p *Platform) admit(w http.ResponseWriter, counter *uint64) bool {
	p.mu.Lock()
	fault := p.fault
	overLimit := p.countCallLocked()
	if fault == FaultDown || overLimit {
		p.counters.Refused++
		p.mu.Unlock()
		rejectCall(w, overLimit)
		return false
	}
	*counter++
	p.mu.Unlock()
	if fault == FaultSlow {
		time.Sleep(slowDelay)
	}
	return true
}

// countCallLocked counts a read in the current window and reports whether it
// exceeds the limit.
func (p *Platform) countCallLocked() bool {
	if now := time.Now(); now.Sub(p.windowStart) >= rateWindow {
		p.windowStart = now
		p.windowCalls = 0
	}
	p.windowCalls++
	p.counters.PeakPerSecond = max(p.counters.PeakPerSecond, p.windowCalls)
	return p.limit != 0 && p.windowCalls > p.limit
}

func rejectCall(w http.ResponseWriter, overLimit bool) {
	if overLimit {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	http.Error(w, "down", http.StatusServiceUnavailable)
}

// lookup returns the value of key that readers see and a channel that is closed
// on the next change of any value or of the fault.
func (p *Platform) lookup(key string) (revisionedValue, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.staleValues != nil {
		values = p.staleValues
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
				rejectCall(w, false)
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
		http.Error(w, "revision does not match", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set(source.RevisionHeader, strconv.FormatUint(p.put(key, data), 10))
}

// getInstances returns the instance list as of listTime.
func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, &p.counters.Instances) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []source.Instance{}
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		if entry, ok := entryAt(p.instances[id], p.listTime()); ok {
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

// listTime returns the point in time whose instance list readers see.
func (p *Platform) listTime() time.Time {
	if !p.frozenSince.IsZero() {
		return p.frozenSince.Add(-p.lag)
	}
	return time.Now().Add(-p.lag)
}

// entryAt returns the list entry of an instance as of the given time and whether
// the instance was listed then.
func entryAt(history []listChange, at time.Time) (source.Instance, bool) {
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
	p.PutInstance(instance)
}

// PutInstance adds an instance to the list or replaces it. Readers see the
// change after the lag.
func (p *Platform) PutInstance(instance source.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.ID] = append(p.instances[instance.ID], listChange{instance: instance, since: time.Now()})
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[id] = append(p.instances[id], listChange{since: time.Now(), removed: true})
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
