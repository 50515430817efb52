package transfer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// body returns an upload of a caller that allows 2.5 s and wants an answer in 0.8 s.
func body(now time.Time, bytes int64) Body {
	return Body{Bytes: bytes, Target: now.Add(800 * time.Millisecond), Deadline: now.Add(2500 * time.Millisecond)}
}

// Uploads of 60 KB on average, a quarter more than a link of 7 Mbit/s carries: the link
// must not queue more than the gate admits, those admitted must arrive by their target,
// and the rest must be refused at once.
func TestOverloadedLinkStaysShort(t *testing.T) {
	const (
		linkMbps = 7
		perSecond,
		seconds = 18, 60
	)
	rng := rand.New(rand.NewPCG(1, 1))
	g := NewGate(linkMbps)
	now := start
	var admitted, total, carried int64
	for range perSecond * seconds {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
		b := body(now, 20_000+rng.Int64N(80_000))
		total++
		d := g.Decide(now, b)
		if !d.Admitted {
			if d.Wait <= 0 {
				t.Fatal("a refusal must tell when to come back")
			}
			continue
		}
		admitted++
		carried += b.Bytes
		if arrives := now.Add(d.Wait + g.transferTime(b.Bytes)); arrives.After(b.Target) {
			t.Fatalf("a body that arrives %v after its target was admitted", arrives.Sub(b.Target))
		}
	}
	rate := float64(carried) * 8 / 1e6 / now.Sub(start).Seconds()
	t.Logf("%d of %d bodies admitted, %.2f Mbit/s", admitted, total, rate)
	if rate > linkMbps*linkShare*1.02 {
		t.Errorf("bodies take %.2f Mbit/s of a link of %d", rate, linkMbps)
	}
	if rate < linkMbps*linkShare*0.95 {
		t.Errorf("bodies take only %.2f Mbit/s although more were offered", rate)
	}
}

func TestSenderWithAlternativesWaitsLess(t *testing.T) {
	is := is.New(t)
	g := NewGate(7)
	is.True(g.Decide(start, body(start, 300_000)).Admitted) // takes 0.43 s
	b := body(start, 60_000)
	b.Patience = 0.25
	is.True(!g.Decide(start, b).Admitted)
	b.Patience = 0
	d := g.Decide(start, b)
	is.True(d.Admitted)
	is.True(d.Wait > 400*time.Millisecond && d.Wait < 450*time.Millisecond)
}

func TestIdleLinkAdmitsAtOnce(t *testing.T) {
	is := is.New(t)
	is.Equal(NewGate(0), nil)
	g := NewGate(7)
	late := Body{Bytes: -1, Target: start.Add(-time.Second), Deadline: start.Add(time.Second), Patience: 0.25}
	is.Equal(g.Decide(start, late), Decision{Admitted: true})
	// A body that arrives after its target but before its deadline is sent if nobody
	// waits before it.
	later := start.Add(time.Minute)
	is.True(g.Decide(later, body(later, 1_000_000)).Admitted)
	later = later.Add(time.Minute)
	is.True(!g.Decide(later, body(later, 10<<20)).Admitted)
}
