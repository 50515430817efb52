package limit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
)

func mergeTraces(traces ...[]arrival) []arrival {
	all := slices.Concat(traces...)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// maxExcess returns the documented bound on over-admission in any window, in
// requests.
func maxExcess(proxies, limit int) float64 {
	s := share{limit: float64(limit)}
	n, l := float64(proxies), float64(limit)
	retry := min(maxRetry.Seconds(), max(shortLifetime.Seconds(), n/maxReceivedPerSecond))
	return l*(burst.Seconds()+retry) + max(l*maxLongOutstanding.Seconds(), minLongCredits*n) + n*(s.maxDebt(proxies)+1)
}

// TestOverAdmissionIsBounded offers random load and checks the over-admission in
// the worst window, of any length, and the total from the start.
func TestOverAdmissionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "proxies")
		limit := rapid.SampledFrom([]int{1, 5, 50, 300}).Draw(t, "limit")
		f := newFleet(n, limit)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f.delay = func(int, int) (time.Duration, bool) { return time.Duration(1 + rng.IntN(50_000_000)), true }
		var trace []arrival
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			begin := time.Duration(rapid.IntRange(0, 15).Draw(t, "begin")) * time.Second
			end := begin + time.Duration(rapid.IntRange(1, 10).Draw(t, "length"))*time.Second
			from := rapid.IntRange(0, n-1).Draw(t, "from")
			rate := float64(limit) * rapid.SampledFrom([]float64{0.1, 0.7, 1, 5}).Draw(t, "load")
			trace = mergeTraces(trace, poisson(rng.Uint64(), rate, begin, end, from, n))
		}
		admitted := replay(f, trace, 25*time.Second)
		if e := excess(admitted, limit); e > maxExcess(n, limit) {
			t.Fatalf("%v requests over the limit, want at most %v", e, maxExcess(n, limit))
		}
		debt := float64(n) * (&share{limit: float64(limit)}).maxDebt(n)
		initialTokens := float64(limit) * burst.Seconds()
		for i, a := range admitted {
			if bound := float64(limit)*a.at.Seconds() + initialTokens + debt + 1; float64(i) > bound {
				t.Fatalf("%d requests admitted by %v, want at most %v", i, a.at, bound)
			}
		}
	})
}

// TestDemandWithinTheLimitIsAdmitted offers half the limit, at 1, 5 or all proxies.
func TestDemandWithinTheLimitIsAdmitted(t *testing.T) {
	for _, proxies := range []int{1, 5, 40} {
		is := is.New(t)
		f := newFleet(40, 100)
		trace := poisson(3, 50, 0, 20*time.Second, 0, proxies)
		admitted := replay(f, trace, 21*time.Second)
		is.True(float64(len(admitted)) >= 0.99*float64(len(trace))) // 99 %
	}
}

// TestFloodIsDividedFairly guards against one proxy that takes the credits of the
// others: it receives 10 times the limit while they stay below the fair level.
func TestFloodIsDividedFairly(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, 100)
	modest := poisson(4, 60, 0, 30*time.Second, 1, 20)
	trace := mergeTraces(poisson(5, 1000, 0, 30*time.Second, 0, 1), modest)
	admitted := replay(f, trace, 30*time.Second)
	others := 0
	for _, a := range admitted {
		if a.proxy != 0 {
			others++
		}
	}
	is.True(float64(others) >= 0.9*float64(len(modest)))  // below the fair level
	is.True(float64(len(admitted)) >= 0.9*100*30)         // the limit is used
	is.True(float64(len(admitted)-others) <= 100*30*0.55) // the flood gets the rest
}

func TestUnreachableOwnersFallBackToStaticShare(t *testing.T) {
	is := is.New(t)
	const n, limit, seconds = 10, 100, 20
	f := newFleet(n, limit)
	f.delay = func(int, int) (time.Duration, bool) { return 0, false }
	admitted := replay(f, poisson(6, 2000, 0, seconds*time.Second, 0, n), seconds*time.Second)
	owners := f.limiters[0].view.owners(org)
	others := 0
	for _, a := range admitted {
		if id := f.limiters[a.proxy].cfg.ID; id != owners[0].ID && id != owners[1].ID {
			others++
		}
	}
	is.True(others >= limit*seconds*(n-2)/n*8/10)                     // the static shares, less the time to detect the failure
	is.True(others <= limit*seconds*(n-2)/n+int(maxExcess(n, limit))) // and no more
	is.True(excess(admitted, 3*limit) <= maxExcess(n, 3*limit))       // both owners still reach themselves
}

// TestPartitionedFleetAdmitsAtMostTwiceTheLimit gives each half of the fleet a
// membership list of itself only, so that each half has its own owner.
func TestPartitionedFleetAdmitsAtMostTwiceTheLimit(t *testing.T) {
	is := is.New(t)
	const n, limit, seconds = 20, 100, 20
	f := newFleet(n, limit)
	allMembers := f.limiters[0].view.members
	for half := range 2 {
		var members []Member
		for i, m := range allMembers {
			if i%2 == half {
				members = append(members, m)
			}
		}
		for i, l := range f.limiters {
			if i%2 == half {
				l.Step(start, MembersChanged{Members: members})
			}
		}
	}
	admitted := replay(f, poisson(7, 2000, 0, seconds*time.Second, 0, n), seconds*time.Second)
	is.True(excess(admitted, 2*limit) <= 2*maxExcess(n/2, limit))
	is.True(len(admitted) >= limit*seconds)
}

// TestOwnerFailsOver isolates the owner; the backup owner must grant credits.
func TestOwnerFailsOver(t *testing.T) {
	is := is.New(t)
	const n, limit = 10, 100
	f := newFleet(n, limit)
	owner := f.limiters[0].view.owners(org)[0].ID
	f.delay = func(from, to int) (time.Duration, bool) {
		return simDelay, f.limiters[from].cfg.ID != owner && f.limiters[to].cfg.ID != owner
	}
	proxy := 0
	if f.limiters[0].cfg.ID == owner {
		proxy = 1
	}
	trace := poisson(8, 80, 0, 20*time.Second, proxy, proxy+1)
	admitted := replay(f, trace, 20*time.Second)
	is.True(float64(len(admitted)) >= 0.9*float64(len(trace)))
}

func TestOwnersAreInDifferentZones(t *testing.T) {
	is := is.New(t)
	f := newFleet(30, 1)
	seen := make(map[string]bool)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		owners := f.limiters[0].view.owners(name)
		is.Equal(len(owners), 2)
		is.True(owners[0].AvailabilityZone != owners[1].AvailabilityZone)
		seen[owners[0].ID] = true
	}
	is.True(len(seen) > 3) // owners are distributed
}

func TestCompetingFloodsShareTheLimitEvenly(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, 100)
	trace := mergeTraces(poisson(9, 2000, 0, 20*time.Second, 0, 1), poisson(10, 200, 0, 20*time.Second, 1, 2))
	var admitted [2]int
	for _, a := range replay(f, trace, 20*time.Second) {
		admitted[a.proxy]++
	}
	is.True(admitted[0] >= 800) // 40 of the 50 requests per second of an even half
	is.True(admitted[1] >= 800)
}

func TestDebtIsBoundedAndRepaid(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, 10)
	l := f.limiters[0]
	borrowed := 0
	for range 100 {
		if ok, _ := l.Allow(start, org, 10); ok {
			borrowed++
		}
	}
	is.Equal(borrowed, 3) // what the static share admits in 3 s

	plain := newBucket(start, CreditRequest{Limit: 10})
	indebted := newBucket(start, CreditRequest{Limit: 10})
	plain.grant(start, "a", CreditRequest{Limit: 10, Rate: 20}, 10)
	indebted.grant(start, "a", CreditRequest{Limit: 10, Rate: 20, Debt: 10}, 10)
	is.True(indebted.tokens <= 0)
	is.True(plain.tokens > indebted.tokens)
}

func TestCreditsExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, 10)
	l := f.limiters[0]
	l.Allow(start, org, 10)
	l.Step(start, Tick{})
	grant := Grant{Organisation: org, Credits: 5, LifetimeMs: 1000, Scarce: true, RetryMs: 10_000}
	l.Step(start, Answered{Number: 1, Reply: Reply{Grants: []Grant{grant}}})
	ok, _ := l.Allow(start.Add(999*time.Millisecond), org, 10)
	is.True(ok)
	ok, wait := l.Allow(start.Add(time.Second), org, 10)
	is.True(!ok)
	is.True(wait >= minRetryAfter)
}

func TestIdleBucketHoldsOneBurst(t *testing.T) {
	is := is.New(t)
	b := newBucket(start, CreditRequest{Limit: 10})
	b.refill(start.Add(time.Hour))
	is.Equal(b.tokens, 10*burst.Seconds())
}

func TestUnsolicitedGrantIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, 10)
	l := f.limiters[0]
	for _, name := range []string{org, "other"} {
		l.Allow(start, name, 10)
		l.Step(start, Tick{})
	}
	before := l.shares["other"].credits(start)
	l.Step(start, Answered{Number: 1, Reply: Reply{Grants: []Grant{{Organisation: "other", Credits: 1e6, LifetimeMs: 1000}}}})
	is.Equal(l.shares["other"].credits(start), before)
}
