package host

import (
	"time"

	"heatherlift.example/heatherlift/internal/settings"
)

// ShutdownBounds is what a platform states about the end of a process. The zero value
// states nothing.
type ShutdownBounds struct {
	// Notice is the time within which callers have learned that the proxy leaves.
	Notice time.Duration
	// GracePeriod is the time after which the platform kills a process that it has told
	// to stop.
	GracePeriod time.Duration
}

const (
	// admitFraction is the part of the notice period during which requests of
	// other proxies are still admitted. The rest of it is left for these requests
	// to finish.
	admitFraction = 0.6
	// Aborting what is left, the last log lines and the exit take place in the last
	// part of a grace period: exitFraction of it within the limits below, and at most
	// maxExitFraction. A process that has little processor time needs the lower limit.
	exitFraction    = 1.0 / 12
	maxExitFraction = 1.0 / 6
	minExitDuration = 500 * time.Millisecond
	maxExitDuration = time.Second
	// cutDelay is the time for the last responses to be written if there is no grace
	// period. Otherwise they have half of the time for the exit.
	cutDelay = 250 * time.Millisecond
)

// shutdownPlan divides the time of a graceful shutdown. All times count from its start.
type shutdownPlan struct {
	// AdmitPeers is until when requests of other proxies are admitted, Notice until
	// when new requests of callers are.
	AdmitPeers, Notice time.Duration
	// Limit is when requests in flight are ended with a response, and Cut when the
	// connections that are still open are closed.
	Limit, Cut time.Duration
}

// planShutdown returns the plan for a platform's bounds, or that of the settings if the
// platform states no grace period. Requests in flight may use the whole grace period
// except for the exit: what is ended earlier could have been answered. At least half of the
// time is left for requests that arrive at the end of the notice.
func planShutdown(s settings.Shutdown, b ShutdownBounds) shutdownPlan {
	writeTime := cutDelay
	p := shutdownPlan{Notice: time.Duration(s.Notice), Limit: time.Duration(s.Notice) + time.Duration(s.Limit)}
	if b.GracePeriod > 0 {
		grace := float64(b.GracePeriod)
		exit := min(max(time.Duration(exitFraction*grace), minExitDuration), maxExitDuration, time.Duration(maxExitFraction*grace))
		p.Limit, writeTime = b.GracePeriod-exit, exit/2
		if b.Notice > 0 {
			p.Notice = b.Notice
		}
		p.Notice = min(p.Notice, p.Limit/2)
	}
	p.Cut = p.Limit + writeTime
	p.AdmitPeers = time.Duration(admitFraction * float64(p.Notice))
	return p
}
