package source

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// A proxy whose source for versions and evacuations may be behind, because it follows
// neither the store nor a reader in good order, asks other proxies for the operator's part
// of the store: others are likely to have it, a short delta away.

const (
	// questionWait is how long a proxy that is in touch with the store holds back its
	// answer until there is something new.
	questionWait = 300 * time.Millisecond
	// questionInterval is the time between two questions that are answered at once. It
	// bounds the messages of a fleet whose store is away.
	questionInterval = 250 * time.Millisecond
	// questionRepeatDelay applies instead after the first questions that were not answered
	// by a proxy in touch. After maxQuickQuestions the store is likely down for all.
	questionRepeatDelay = 100 * time.Millisecond
	maxQuickQuestions   = 5
	// answerDelay is how late an answer, or that of a source, may be before another proxy
	// is asked as well.
	answerDelay = 200 * time.Millisecond
	// maxInformantAge is how old the knowledge of a proxy that is asked again may be.
	maxInformantAge = time.Second
	// maxVersionAge is how old the word of another proxy may be for this one not to read
	// versions from the store, and firstAnswerLimit how long the first one is waited for.
	// A version is long, and may take a second over a slow link.
	maxVersionAge    = 500 * time.Millisecond
	firstAnswerLimit = 300 * time.Millisecond
	// slowLinkPatience is the factor by which a proxy with a slow link waits longer for
	// others: until a full version has arrived, nothing else does.
	slowLinkPatience = 3
	// hearsayDelay is how long a version that another proxy is known to enforce may take to
	// arrive from this proxy's source, which is usually a matter of milliseconds.
	hearsayDelay = 150 * time.Millisecond
)

// hearsay is the highest version that another proxy is known to enforce, with the time since
// which this one has missed such a version.
type hearsay struct {
	version uint64
	from    string
	at      time.Time
}

// questionState is the state of the questions to other proxies.
type questionState struct {
	rng *rand.Rand
	// doubtSince is when this proxy came into doubt, zero if it is not.
	doubtSince time.Time
	// waitingSince is since when this proxy waits for others instead of reading versions
	// from the store, zero if it does not.
	waitingSince time.Time
	// asked is the proxy whose answer is awaited, empty if none is, and askedAt the time of
	// the latest question.
	asked   string
	askedAt time.Time
	nextAt  time.Time
	// informant is the proxy that answered last and is in touch with the store, empty if
	// none did, and informedAt the time up to which it knew the store.
	informant  string
	informedAt time.Time
	// misses counts the questions since then.
	misses int
	// failed reports that the latest question was not answered.
	failed bool
	// heard is the highest version heard of, and unusable the highest one that another
	// proxy enforces and this one cannot use.
	heard    hearsay
	unusable uint64
}

func newQuestionState(seed uint64) questionState {
	return questionState{rng: rand.New(rand.NewPCG(seed, 4))}
}

func (q *questionState) inDoubt() bool { return !q.doubtSince.IsZero() }

// RecordCall records the call that was made after a step. Questions and calls for the
// configuration alone are not recorded.
func (f *Follower) RecordCall(c Call) { f.current = c }

// HearVersion records that another proxy, identified by its instance, enforces a version.
func (f *Follower) HearVersion(now time.Time, version uint64, from string) {
	h := &f.questions.heard
	if version <= max(f.version, h.version, f.questions.unusable) {
		return
	}
	if h.version <= f.version {
		h.at = now // it missed none before
	}
	h.version, h.from = version, from
}

// missesVersion reports whether this proxy has heard of a newer version and has not got it
// from its source since.
func (f *Follower) missesVersion(now time.Time) bool {
	h := f.questions.heard
	return h.version > max(f.version, f.questions.unusable) && now.Sub(h.at) >= hearsayDelay
}

// doubt returns why others may know of versions of which this proxy's source does not tell
// it in time, or an empty string.
func (f *Follower) doubt(now time.Time) string {
	lateAt := f.current.At.Add(f.current.Wait + answerDelay)
	switch {
	case f.storeFails(now):
		return "the store does not answer"
	case f.version == 0 || f.restored.unconfirmed != nil:
		return "" // nothing is in force here
	case f.missesVersion(now):
		return fmt.Sprintf("version %d is in force at %s, and here %d", f.questions.heard.version, f.questions.heard.from, f.version)
	case len(f.delayed) > 0:
		return "a reader does not reply"
	case f.current.Reader == nil && f.isLargeFleet() && !f.isReader(now):
		return "there is no reader to follow"
	case now.After(lateAt):
		return "a call is not answered"
	case f.sourceMayBeCut(now) && f.Age(now) > maxVersionAge:
		return "the store turned away this proxy or its readers"
	}
	return ""
}

// storeFails reports whether the latest call of this proxy to the store failed.
func (f *Follower) storeFails(now time.Time) bool {
	if f.failures > 0 {
		return true
	}
	if f.configurationWatch.failures == 0 || !f.isLargeFleet() {
		return false
	}
	reader, _ := f.selectReader(now)
	return reader == nil
}

// sourceMayBeCut reports whether this proxy or a reader of it was without the store recently:
// those that it follows now may have known the store only through them.
func (f *Follower) sourceMayBeCut(now time.Time) bool {
	if f.turnedAway(now) {
		return true
	}
	for _, at := range f.staleAt {
		if now.Sub(at) < readerRetryDelay {
			return true
		}
	}
	return false
}

// NextQuestion returns a question to another proxy. It returns false if none is due.
func (f *Follower) NextQuestion(now time.Time) (Update, Call, bool) {
	var v Update
	q := &f.questions
	cause := f.doubt(now)
	if cause == "" {
		q.doubtSince, q.waitingSince, q.informant, q.misses = time.Time{}, time.Time{}, "", 0
		return v, Call{}, false
	}
	if !q.inDoubt() {
		q.doubtSince = now
		v.addNote("asking others for versions", cause)
	}
	awaited := q.asked != "" && now.Before(q.askedAt.Add(questionWait+answerDelay))
	at := later(now, q.nextAt)
	if f.missesVersion(now) && q.asked != q.heard.from {
		awaited, at = false, now
	}
	if awaited || !f.listed && f.version == 0 {
		return v, Call{}, false
	}
	peer := f.nextInformant(now)
	if peer == nil {
		return v, Call{}, false
	}
	q.asked, q.askedAt, q.nextAt = peer.ID, at, at.Add(questionInterval)
	return v, Call{At: at, Part: OperatorOnly, Era: f.position.Era, After: f.position.Revision, Wait: questionWait, Reader: peer}, true
}

// nextInformant returns the proxy to ask: the one that answered last, otherwise first one of
// the own zone, where bytes cost nothing, and then any, since the whole zone may be cut off
// from the store.
func (f *Follower) nextInformant(now time.Time) *Instance {
	q := &f.questions
	if e, ok := f.known[q.heard.from]; ok && f.missesVersion(now) && q.asked != q.heard.from {
		return e.Instance
	}
	if e, ok := f.known[q.informant]; ok {
		return e.Instance
	}
	var near, all []*Instance
	for _, id := range slices.Sorted(maps.Keys(f.known)) {
		i := f.known[id].Instance
		if i.PeerAddress == "" || i.BackendAddress == f.cfg.BackendAddress || id == q.asked || f.isLost(now, id) {
			continue
		}
		all = append(all, i)
		if i.AvailabilityZone == f.cfg.AvailabilityZone {
			near = append(near, i)
		}
	}
	if q.misses == 0 && len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[q.rng.IntN(len(all))]
}

// HandleUnusableVersion records that the version of another proxy cannot be used here, as
// when that one is of a newer release.
func (f *Follower) HandleUnusableVersion() { f.questions.unusable = f.questions.heard.version }

// HandleAnswer handles the answer to a question, with the configuration that its delta
// produces, or its failure if the cause is not empty.
func (f *Follower) HandleAnswer(now time.Time, id string, r RelayReply, c *Configuration, cause string) Update {
	var v Update
	q := &f.questions
	if q.asked == id {
		q.asked = ""
	}
	if cause != "" && !q.failed {
		v.addNote("question not answered", fmt.Sprintf("%s: %s", id, cause))
	}
	q.failed = cause != ""
	if q.failed || r.Stale || r.age() > maxInformantAge {
		q.informant = ""
		q.misses++
		if q.misses < maxQuickQuestions {
			q.nextAt = now.Add(questionRepeatDelay)
		}
	} else {
		q.informant, q.misses = id, 0
		q.informedAt = now.Add(-r.age())
	}
	if q.failed {
		return v
	}
	f.sightings.record(now.Add(-r.age()))
	// What a proxy knows holds also while it is without the store.
	f.applyRelayedEvacuations(r)
	f.updateEvacuations(now, &v)
	if c != nil && c.Version > f.version {
		q.informedAt = now // whether or not that one is in touch with the store
		v.addNote("version from another proxy", fmt.Sprintf("%d from %s, %v after this proxy came into doubt", c.Version, id, q.duration(now)))
	}
	f.acceptConfiguration(c, &v)
	if id == q.heard.from && q.heard.version > f.version {
		q.heard = hearsay{} // it has it no more
	}
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// duration returns the time since this proxy came into doubt.
func (q *questionState) duration(now time.Time) time.Duration {
	if !q.inDoubt() {
		return 0
	}
	return now.Sub(q.doubtSince).Round(time.Millisecond)
}

// othersTellVersions reports whether this proxy, unless it is a reader with a fast link, learns
// of versions from others, and so need not read them from the store.
func (f *Follower) othersTellVersions(now time.Time) bool {
	q := &f.questions
	if !q.inDoubt() || f.isReader(now) && !f.hasSlowLink() {
		return false
	}
	if q.waitingSince.IsZero() {
		q.waitingSince = now
	}
	waited, age := now.Sub(q.waitingSince), now.Sub(q.informedAt)
	if f.hasSlowLink() {
		return waited < slowLinkPatience*firstAnswerLimit || age < slowLinkPatience*maxVersionAge
	}
	return waited < firstAnswerLimit && f.Age(now) < maxAge || age < maxVersionAge
}
