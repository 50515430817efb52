package quarantine

import (
	"time"
)

// maxCrashes bounds the number of crashes counted for one fingerprint.
const maxCrashes = 64

// Evidence is what a proxy knows of one fingerprint. Evidence of several proxies is
// merged by the maximum of each count, so that it may arrive late, repeatedly and in
// any order, and no clocks are compared.
type Evidence struct {
	Fingerprint uint64 `json:"f"`
	// Crashes is the length of the longest known chain of crashes: the run that
	// ended with a crash was admitted by proxies that knew of the one before.
	Crashes uint32 `json:"c"`
	// Answered is the highest number of crashes that were known when a run was
	// admitted that was answered later.
	Answered uint32 `json:"a,omitempty"`
	// AgeMs is the time since the latest crash in milliseconds.
	AgeMs int64 `json:"t,omitempty"`
}

// valid reports whether evidence of another proxy is within the bounds.
func (e Evidence) valid() bool {
	return e.Fingerprint != 0 && e.Crashes > 0 && e.Crashes <= maxCrashes && e.Answered <= e.Crashes &&
		e.AgeMs >= 0 && e.AgeMs <= maxLifetime.Milliseconds()
}

// maxLifetime is the longest time for which a suspect is kept after a crash: the
// longest quarantine with its jitter, and the retention.
const maxLifetime = 2*maxDuration + retention

// suspect is the state kept for one fingerprint.
type suspect struct {
	crashes, answered uint32
	crashedAt         time.Time
	// jitter lengthens the quarantine by a share that differs between proxies, so
	// that they do not all admit the request again at once.
	jitter           float64
	quarantinedUntil time.Time
}

// unanswered returns the number of crashes since the last answered run.
func (s *suspect) unanswered() uint32 { return s.crashes - s.answered }

// expires returns the time at which the suspect is dropped.
func (s *suspect) expires() time.Time {
	if s.quarantinedUntil.After(s.crashedAt) {
		return s.quarantinedUntil.Add(retention)
	}
	return s.crashedAt.Add(retention)
}

// merge adds evidence and reports whether the number of crashes rose.
func (q *Quarantine) merge(now time.Time, e Evidence) (rose bool) {
	s, ok := q.suspects[e.Fingerprint]
	if !ok {
		s = &suspect{jitter: q.rng.Float64()}
		q.suspects[e.Fingerprint] = s
		q.evictExcept(e.Fingerprint)
	}
	refusedBefore := s.unanswered() >= refuseAfter
	if e.Crashes > s.crashes {
		rose = true
		s.crashes = e.Crashes
		s.crashedAt = now.Add(-time.Duration(e.AgeMs) * time.Millisecond)
	}
	s.answered = max(s.answered, e.Answered)
	s.quarantinedUntil = time.Time{}
	if s.unanswered() >= refuseAfter {
		s.quarantinedUntil = s.crashedAt.Add(quarantineDuration(s.unanswered(), s.jitter))
	} else if refusedBefore {
		q.effects = append(q.effects, Cleared{Fingerprint: e.Fingerprint, Crashes: s.crashes})
	}
	return rose
}

// quarantineDuration returns the quarantine duration after a number of unanswered
// crashes.
func quarantineDuration(unanswered uint32, jitter float64) time.Duration {
	d := firstDuration
	for n := uint32(refuseAfter); n < unanswered && d < maxDuration; n++ {
		d *= durationGrowth
	}
	d = min(d, maxDuration)
	return d + time.Duration(jitter*float64(d))
}

// evidence returns what is known of a suspect.
func (s *suspect) evidence(now time.Time, fingerprint uint64) Evidence {
	return Evidence{
		Fingerprint: fingerprint, Crashes: s.crashes, Answered: s.answered,
		AgeMs: max(0, now.Sub(s.crashedAt).Milliseconds()),
	}
}

// evictExcept drops one suspect if there are more than the limit: the one, other
// than keep, with the fewest unanswered crashes, and of these the oldest.
func (q *Quarantine) evictExcept(keep uint64) {
	if len(q.suspects) <= q.cfg.MaxSuspects {
		return
	}
	var victim uint64
	var weakest *suspect
	for f, s := range q.suspects {
		if f != keep && (weakest == nil || evictedBefore(s, weakest) || !evictedBefore(weakest, s) && f < victim) {
			victim, weakest = f, s
		}
	}
	delete(q.suspects, victim)
	q.counters.Evicted++
}

func evictedBefore(a, b *suspect) bool {
	if a.unanswered() != b.unanswered() {
		return a.unanswered() < b.unanswered()
	}
	return a.crashedAt.Before(b.crashedAt)
}

// expireSuspects drops suspects that are kept no longer. It does so at most once a
// second.
func (q *Quarantine) expireSuspects(now time.Time) {
	if now.Sub(q.lastSweep) < time.Second {
		return
	}
	q.lastSweep = now
	for f, s := range q.suspects {
		if !now.Before(s.expires()) {
			delete(q.suspects, f)
		}
	}
}
