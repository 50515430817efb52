package forward

import (
	"net/http"
	"strconv"
)

// Loader is implemented by a Core that knows the load of the backend server
// beside this proxy.
type Loader interface {
	// Load returns the requests running and waiting per slot.
	Load() float64
}

// load returns the header by which a proxy reports its load with each answer.
func (l *Local) load() field {
	loader, ok := l.core.(Loader)
	if !ok {
		return field{}
	}
	return field{loadHeader, strconv.FormatFloat(loader.Load(), 'f', 2, 64)}
}

// set adds the field to a header, unless it is empty.
func (f field) set(h http.Header) {
	if f.name != "" {
		h[f.name] = []string{f.value}
	}
}

// reportedLoad returns the load in a peer's answer, 0 if there is none.
func reportedLoad(h http.Header) float64 {
	load, err := strconv.ParseFloat(h.Get(loadHeader), 64)
	if err != nil || !(load >= 0) {
		return 0
	}
	return load
}
