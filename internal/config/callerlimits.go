package config

import "fmt"

// MaxCallerHeaderBytes is the largest header limit of a version that takes effect.
const MaxCallerHeaderBytes = 1 << 20

// CallerLimits bounds what a caller may send on a connection. It applies to all
// organisations. A zero field sets no bound of its own: the default of the proxy
// applies.
type CallerLimits struct {
	// HeaderBytes bounds a request line with its header.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the time from the first byte of a request to the end of
	// its header.
	HeaderTimeout Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is the time without a request after which a connection is closed.
	IdleTimeout Duration `json:"idle_timeout,omitempty"`
}

// text returns the canonical form of the limits that enters the root hash, empty if
// there are none.
func (l CallerLimits) text() string {
	if l == (CallerLimits{}) {
		return ""
	}
	return fmt.Sprintf("callers %d %d %d %d\n", l.HeaderBytes, l.BodyBytes, l.HeaderTimeout, l.IdleTimeout)
}

func (l CallerLimits) validate(key string, problems *problemList) {
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"header_bytes", int64(l.HeaderBytes)},
		{"body_bytes", l.BodyBytes},
		{"header_timeout", int64(l.HeaderTimeout)},
		{"idle_timeout", int64(l.IdleTimeout)},
	} {
		if f.value < 0 {
			problems.add(key+"."+f.name, "%d: want 0 or more", f.value)
		}
	}
}
