package forward

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/routing"
)

// hopHeader carries what the proxy beside the backend server needs to know
// about a request. It is one header with short names, because bytes between
// availability zones are dear.
const hopHeader = "Heatherlift-Hop"

// Names within hopHeader.
const (
	hopRequest     = "q"
	hopFingerprint = "f"
	hopRepeatable  = "s"
	hopInstance    = "i"
	hopPriority    = "p"
	hopTarget      = "t"
	hopRoute       = "r"
	hopPatience    = "w"
)

// hopText returns the value of hopHeader. The request is named only if it may
// not be repeated: the receiver remembers no others.
func hopText(d routing.Send, request string, fingerprint uint64, now time.Time) string {
	v := url.Values{
		hopFingerprint: {strconv.FormatUint(fingerprint, 36)},
		hopInstance:    {d.Instance},
	}
	if d.Repeatable {
		v.Set(hopRepeatable, "1")
	} else {
		v.Set(hopRequest, request)
	}
	if d.Priority != 0 {
		v.Set(hopPriority, strconv.Itoa(d.Priority))
	}
	if !d.Target.IsZero() {
		v.Set(hopTarget, strconv.FormatInt(d.Target.Sub(now).Milliseconds(), 10))
		v.Set(hopRoute, d.Route)
	}
	if d.Patience > 0 {
		v.Set(hopPatience, strconv.FormatFloat(d.Patience, 'f', 2, 64))
	}
	return v.Encode()
}

// parseHop reads what another proxy sent. It reports false if the header is
// malformed or names no request that may not be repeated.
func parseHop(now time.Time, h http.Header) (admission.Arrived, bool) {
	v, err := url.ParseQuery(h.Get(hopHeader))
	a := admission.Arrived{
		Request:    v.Get(hopRequest),
		Repeatable: v.Has(hopRepeatable),
		Instance:   v.Get(hopInstance),
		Route:      v.Get(hopRoute),
	}
	if err != nil || a.Request == "" && !a.Repeatable {
		return admission.Arrived{}, false
	}
	a.Fingerprint, err = strconv.ParseUint(v.Get(hopFingerprint), 36, 64)
	if err != nil {
		return admission.Arrived{}, false
	}
	if text := v.Get(hopPriority); text != "" {
		if a.Priority, err = strconv.Atoi(text); err != nil {
			return admission.Arrived{}, false
		}
	}
	if text := v.Get(hopTarget); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return admission.Arrived{}, false
		}
		a.Target = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if text := v.Get(hopPatience); text != "" {
		if a.Patience, err = strconv.ParseFloat(text, 64); err != nil {
			return admission.Arrived{}, false
		}
	}
	return a, true
}
