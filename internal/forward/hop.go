package forward

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/routing"
)

// hopHeader carries the request attributes that the sidecar proxy of the
// backend server needs. It is a single header with short keys, because traffic
// between availability zones is expensive.
const hopHeader = "Heatherlift-Hop"

// Keys within hopHeader.
const (
	hopRequest      = "q"
	hopFingerprint  = "f"
	hopRepeatable   = "s"
	hopInstance     = "i"
	hopPriority     = "p"
	hopTarget       = "t" // milliseconds until routing.Send.Target
	hopRoute        = "r"
	hopKnownCrashes = "c"
	hopRateLimit    = "l" // requests per second
	hopCall         = "b" // set for calls of backend servers
	hopMaxWaitShare = "w" // becomes admission.Arrived.Patience
	hopDownload     = "d"
	hopWarmUp       = "u" // requests per second of a cold backend server
)

// formatHop returns the value of hopHeader. It contains the request identifier
// only if the request must not be repeated, because the receiver tracks only
// such requests.
func formatHop(d routing.Send, request string, fingerprint uint64, call bool, now time.Time) string {
	v := url.Values{
		hopFingerprint: {strconv.FormatUint(fingerprint, 36)},
		hopInstance:    {d.Instance},
	}
	if d.Repeatable {
		v.Set(hopRepeatable, "1")
	} else {
		v.Set(hopRequest, request)
	}
	if call {
		v.Set(hopCall, "1")
	}
	if d.Priority != 0 {
		v.Set(hopPriority, strconv.Itoa(d.Priority))
	}
	if !d.Target.IsZero() {
		v.Set(hopTarget, strconv.FormatInt(d.Target.Sub(now).Milliseconds(), 10))
		v.Set(hopRoute, d.Route)
	}
	if d.Download {
		v.Set(hopDownload, "1")
		v.Set(hopRoute, d.Route)
	}
	if d.KnownCrashes > 0 {
		v.Set(hopKnownCrashes, strconv.FormatUint(uint64(d.KnownCrashes), 10))
	}
	if d.MaxWaitShare > 0 {
		v.Set(hopMaxWaitShare, strconv.FormatFloat(d.MaxWaitShare, 'f', 2, 64))
	}
	if d.RateLimited {
		v.Set(hopRateLimit, strconv.FormatFloat(d.RateLimit, 'f', -1, 64))
	}
	if d.WarmUpPerSecond > 0 {
		v.Set(hopWarmUp, strconv.FormatFloat(d.WarmUpPerSecond, 'f', -1, 64))
	}
	return v.Encode()
}

// parseHop parses the header sent by another proxy. It reports false if the
// header is malformed, or if it has no request identifier although the request
// must not be repeated.
func parseHop(now time.Time, h http.Header) (admission.Arrived, bool) {
	v, err := url.ParseQuery(h.Get(hopHeader))
	a := admission.Arrived{
		Request:    v.Get(hopRequest),
		Repeatable: v.Has(hopRepeatable),
		Call:       v.Has(hopCall),
		Instance:   v.Get(hopInstance),
		Route:      v.Get(hopRoute),
		Download:   v.Has(hopDownload),
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
	if text := v.Get(hopKnownCrashes); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return admission.Arrived{}, false
		}
		a.KnownCrashes = uint32(n)
	}
	if text := v.Get(hopRateLimit); text != "" {
		if a.RateLimit, a.RateLimited = parseRateLimit(text); !a.RateLimited {
			return admission.Arrived{}, false
		}
	}
	if text := v.Get(hopWarmUp); text != "" {
		var valid bool
		if a.WarmUpPerSecond, valid = parseRateLimit(text); !valid {
			return admission.Arrived{}, false
		}
	}
	if text := v.Get(hopMaxWaitShare); text != "" {
		if a.Patience, err = strconv.ParseFloat(text, 64); err != nil {
			return admission.Arrived{}, false
		}
	}
	return a, true
}
