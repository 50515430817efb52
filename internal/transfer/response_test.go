package transfer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	replayLinkMbps = 10
	replayTick     = 500 * time.Microsecond
	replaySeconds  = 60
	// Requests of the deployment with large responses: target, deadline and mean work.
	replayTarget, replayDeadline, replayWork = 1500 * time.Millisecond, 2 * time.Second, 150 * time.Millisecond
	// shortTarget is the tightest target of the short responses beside them.
	shortTarget = 200 * time.Millisecond
)

// replayedDownload is a download of a replay.
type replayedDownload struct {
	id               uint64
	arrivedAt, ready time.Time
	bytes, left      int
}

// linkReplay replays downloads and short responses of 1 KB on one link in virtual time.
type linkReplay struct {
	now, linkFree time.Time
	gate          *ResponseGate
	pacer         *Pacer
	rng           *rand.Rand
	downloads     map[uint64]*replayedDownload
	// offered, admitted and inTime count downloads.
	offered, admitted, inTime int
	inTimeBytes               int
	longestShort              time.Duration
}

func (l *linkReplay) exp(mean time.Duration) time.Duration {
	return time.Duration(l.rng.ExpFloat64() * float64(mean))
}

// size returns a length of 90 KB on average and at most 540 KB.
func (l *linkReplay) size() int {
	return int(min(math.Exp(math.Log(65e3)+0.8*l.rng.NormFloat64()), 540e3))
}

func (l *linkReplay) transmit(bytes int) (wait time.Duration, end time.Time) {
	wait = max(0, l.linkFree.Sub(l.now))
	l.linkFree = l.now.Add(wait + linkTime(int64(bytes), replayLinkMbps*1e6/8))
	return wait, l.linkFree
}

func (l *linkReplay) arrive(patience float64) {
	l.offered++
	d := &replayedDownload{id: uint64(l.offered), arrivedAt: l.now, bytes: l.size()}
	d.left = d.bytes
	d.ready = l.now.Add(replayWork/2 + l.exp(replayWork/2))
	r := ResponseRequest{ID: d.id, Route: "photos", Download: true, Target: l.now.Add(replayTarget), Deadline: l.now.Add(replayDeadline), Patience: patience}
	if !l.gate.Decide(l.now, r).Admitted {
		return
	}
	l.admitted++
	l.downloads[d.id] = d
}

// progress begins the responses that are ready and sends the pieces that may leave.
func (l *linkReplay) progress() {
	var ready []*replayedDownload
	for _, d := range l.downloads {
		if d.left == d.bytes && !d.ready.IsZero() && !d.ready.After(l.now) {
			ready = append(ready, d)
		}
	}
	slices.SortFunc(ready, func(a, b *replayedDownload) int { return int(a.id) - int(b.id) })
	for _, d := range ready {
		l.gate.Begin(l.now, d.id, int64(d.bytes), d.arrivedAt.Add(replayDeadline))
		l.gate.Observe(l.now, "photos", int64(d.bytes), l.now.Sub(d.arrivedAt), true)
		d.ready = time.Time{}
		l.ask(d)
	}
	for {
		id, _, ok := l.pacer.Next(l.now)
		if !ok {
			return
		}
		d := l.downloads[id]
		n := min(d.left, l.pacer.PieceBytes())
		d.left -= n
		l.gate.Sent(l.now, id, n)
		_, end := l.transmit(n)
		if d.left > 0 {
			l.ask(d)
			continue
		}
		l.finish(d, end)
	}
}

func (l *linkReplay) ask(d *replayedDownload) {
	l.gate.Await(l.now, d.id)
	l.pacer.Ask(d.id, min(d.left, l.pacer.PieceBytes()))
}

func (l *linkReplay) finish(d *replayedDownload, end time.Time) {
	l.gate.Release(d.id)
	delete(l.downloads, d.id)
	if !end.After(d.arrivedAt.Add(replayTarget)) {
		l.inTime++
		l.inTimeBytes += d.bytes
	}
}

func newLinkReplay() *linkReplay {
	return &linkReplay{
		now: start, linkFree: start, gate: NewResponseGate(replayLinkMbps), pacer: NewPacer(replayLinkMbps),
		rng: rand.New(rand.NewPCG(1, 2)), downloads: make(map[uint64]*replayedDownload),
	}
}

// run replays the given rates. Every second request has others to ask.
func (l *linkReplay) run(perSecond, shortPerSecond float64) {
	nextDownload, nextShort := l.now, l.now
	for end := l.now.Add(replaySeconds * time.Second); l.now.Before(end); l.now = l.now.Add(replayTick) {
		for !nextDownload.After(l.now) {
			l.arrive([]float64{0, 0.25}[l.offered%2])
			nextDownload = nextDownload.Add(l.exp(time.Duration(float64(time.Second) / perSecond)))
		}
		for !nextShort.After(l.now) {
			wait, _ := l.transmit(1000)
			l.longestShort = max(l.longestShort, wait)
			nextShort = nextShort.Add(l.exp(time.Duration(float64(time.Second) / shortPerSecond)))
		}
		l.progress()
	}
}

// A link of 10 Mbit/s whose downloads need 0.9 and 2.3 times its bandwidth: short
// responses must not wait long enough to miss a target, the downloads that are admitted
// must leave in time and the link must be used for them.
func TestOverloadedLinkCarriesDownloadsInTime(t *testing.T) {
	for _, perSecond := range []float64{12.7, 32} {
		l := newLinkReplay()
		l.run(perSecond, 70)
		carried := float64(l.inTimeBytes) * 8 / 1e6 / replaySeconds
		t.Logf("%v/s: %d offered, %d admitted, %d in time (%.2f Mbit/s); longest wait of a short response %v", perSecond, l.offered, l.admitted, l.inTime, carried, l.longestShort)
		if l.longestShort > shortTarget/10 {
			t.Errorf("a short response waited %v", l.longestShort)
		}
		if float64(l.inTime) < 0.95*float64(l.admitted) {
			t.Errorf("only %d of %d admitted downloads left in time", l.inTime, l.admitted)
		}
		if carried < 0.8*responseShare*replayLinkMbps {
			t.Errorf("the link carried %.2f Mbit/s of downloads in time", carried)
		}
	}
}

// A body whose receiver does not read asks for no piece: the others share the rate
// equally, and none of it is lost.
func TestPacerSharesTheRateAmongBodiesThatAsk(t *testing.T) {
	is := is.New(t)
	p := NewPacer(10)
	sent := make(map[uint64]int)
	p.Ask(1, p.PieceBytes()) // asks once, then its receiver stops reading
	p.Ask(2, p.PieceBytes())
	p.Ask(3, p.PieceBytes())
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		for {
			body, _, ok := p.Next(now)
			if !ok {
				break
			}
			sent[body] += p.PieceBytes()
			if body != 1 {
				p.Ask(body, p.PieceBytes())
			}
		}
	}
	is.Equal(sent[1], p.PieceBytes())
	is.True(sent[2]-sent[3] <= p.PieceBytes() && sent[3] <= sent[2])
	total := float64(sent[1] + sent[2] + sent[3])
	is.True(total > 0.97e6 && total < 1.02e6) // 8 of 10 Mbit/s
	is.Equal(NewPacer(0), nil)
}

func download(id uint64, now time.Time) ResponseRequest {
	return ResponseRequest{ID: id, Route: "photos", Target: now.Add(replayTarget), Deadline: now.Add(replayDeadline)}
}

// A route of unknown size is not refused, one is known after its first response, and one
// that is declared before it. A refusal tells when the request would fit.
func TestRouteIsKnownAfterItsFirstResponse(t *testing.T) {
	is := is.New(t)
	g := NewResponseGate(10)
	is.Equal(g.Decide(start, download(1, start)), ResponseDecision{Admitted: true})
	g.Observe(start, "photos", 400, 0, true)
	is.True(!g.Decide(start, download(1, start)).Planned) // short
	g = NewResponseGate(10)
	declared := download(1, start)
	declared.Download = true
	is.Equal(g.Decide(start, declared).Bytes, int64(defaultDownloadBytes))
	g.Release(1)

	g.Observe(start, "photos", 400_000, 100*time.Millisecond, true) // 0.4 s of the link
	is.True(g.Decide(start, download(1, start)).Planned)
	others := download(2, start)
	others.Patience = 0.25
	is.True(!g.Decide(start, others).Admitted) // its sender has others to ask
	is.True(g.Decide(start, download(2, start)).Planned)
	refused := g.Decide(start, download(3, start))
	is.True(!refused.Admitted && refused.RetryAfter > 0)
	for id := uint64(1); id <= 2; id++ {
		g.Begin(start, id, 400_000, start.Add(replayDeadline))
		g.Await(start, id)
		g.Sent(start, id, int(refused.RetryAfter.Seconds()*1e6/2)) // the link is used until then
		g.Await(start, id)
	}
	then := start.Add(refused.RetryAfter)
	is.True(g.Decide(then, download(3, then)).Planned)
}

// Link time must come back from a response that is shorter than expected, whose length
// lies, that stands still or whose request is given up. It would otherwise be refused to
// others although the link is free.
func TestLinkTimeComesBack(t *testing.T) {
	is := is.New(t)
	g := NewResponseGate(10)
	g.Observe(start, "photos", 600_000, 0, true)
	deadline := start.Add(replayDeadline)
	free := func(now time.Time) bool {
		d := g.Decide(now, download(9, now))
		g.Release(9)
		return d.Wait == 0
	}
	is.True(g.Decide(start, download(1, start)).Planned)
	is.True(!free(start))
	g.Begin(start, 1, 0, deadline)
	is.True(free(start)) // shorter than expected

	g.Begin(start, 1, 1<<40, deadline) // stands still
	_, planned := g.Planned()
	is.True(planned <= 2_000_000) // no more than the link carries until the deadline
	is.True(!free(start))
	later := start.Add(stalledAfter)
	is.True(free(later))
	g.Await(later, 1) // goes on
	is.True(!free(later.Add(time.Second)))
	g.Release(1)
	is.True(free(later))
}

// A route whose responses cannot leave by the deadline is refused, but tried again when
// the estimate is old: only a response can correct it.
func TestHopelessRouteIsTriedAgain(t *testing.T) {
	is := is.New(t)
	g := NewResponseGate(10)
	for range 10 {
		g.Observe(start, "photos", 5_000_000, 0, false) // broke off
	}
	mean := g.routes["photos"].mean
	is.True(!g.Decide(start, download(1, start)).Admitted)
	later := start.Add(sizeTTL)
	is.True(g.Decide(later, download(1, later)).Planned)
	g.Observe(later, "photos", 1000, 0, false) // says nothing of the length
	is.Equal(g.routes["photos"].mean, mean)
	g.Release(1)
	for range 2 { // the few that are tried correct the estimate
		later = later.Add(sizeTTL)
		is.True(g.Decide(later, download(1, later)).Planned)
		g.Observe(later, "photos", 90_000, 0, true)
		g.Release(1)
	}
	is.True(g.Decide(later, download(1, later)).Planned)
	g.Observe(later, "photos", 1<<40, 0, false) // does not end
	is.True(g.Decide(later, download(2, later)).Bytes < 1_000_000)
}
