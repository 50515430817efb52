package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
	"heatherlift.example/heatherlift/internal/warmup"
)

var (
	coldTolerance = warmup.Tolerance{Over: 1.5, Slack: 8}
	testWarmUp    = config.ServiceLimits{WarmUp: config.Duration(3 * time.Second), WarmUpPerSecond: 14, HealthPath: "/healthz"}
)

// coldBound is the largest number of requests in a second at a cold backend server.
const coldBound = 29

func (f *crashFleet) zone(p *crashProxy) string {
	if f.zones == 0 {
		return "z"
	}
	return fmt.Sprintf("z-%d", p.index/crashServices%f.zones)
}

// checkWarmUp answers a health check as the backend server would.
func (f *crashFleet) checkWarmUp(p *crashProxy) {
	generation := p.generation
	f.after(time.Millisecond+f.jitter(2*time.Millisecond), func() {
		if p.generation == generation {
			result := admission.WarmUpChecked{Left: max(0, p.coldUntil.Sub(f.now)), Stated: p.backendUp, Refused: !p.backendUp}
			f.deliver(p, func() { f.step(p, result) })
		}
	})
}

// coldArrivals returns the numbers of requests that a backend server has got in the first
// and the second half of its warm-up, and the largest number in a second that ended then.
func (f *crashFleet) coldArrivals(p *crashProxy) (first, second, most int) {
	all := f.statements.server(p.instance()).all
	from := 0
	for i, at := range all {
		for at.Sub(all[from]) >= time.Second {
			from++
		}
		left := p.coldUntil.Sub(at)
		switch {
		case left <= 0:
			continue
		case left > time.Duration(f.warmUp.WarmUp)/2:
			first++
		default:
			second++
		}
		most = max(most, i-from+1)
	}
	return first, second, most
}

// A zone that returns cold gets its share from the first second on, within the bound, and
// callers notice no step: what it cannot serve goes to the others.
func TestZoneThatReturnsColdGetsItsShareWithoutAStep(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 77} {
		f := newCrashFleet(uint64(n), n, func(f *crashFleet) { f.warmUp, f.zones = testWarmUp, 3 })
		// A cold backend server may get 21 a second, a warm one serves 133.
		perSecond := 60 * len(f.ofService(0))
		f.offerAll(0, perSecond, 3*time.Second+backendReturn)
		f.run(3 * time.Second)
		var returned []*crashProxy
		for _, p := range f.ofService(0) {
			if f.zone(p) == "z-1" {
				returned = append(returned, p)
				f.endBackend(p)
			}
		}
		f.run(backendReturn)
		load := f.offerAll(0, perSecond, 5*time.Second)
		f.run(8 * time.Second)
		first, second, most := 0, 0, 0
		for _, p := range returned {
			a, b, worst := f.coldArrivals(p)
			first, second, most = first+a, second+b, max(most, worst)
		}
		used := float64(first+second) / float64(len(returned)) / (3 * 21)
		t.Logf("%d proxies: %.2f of the budget used, %d then %d requests, at most %d in a second; %+v", n, used, first, second, most, *load)
		if most > coldBound {
			t.Errorf("%d proxies: %d requests in a second at a cold backend server", n, most)
		}
		if used < 0.25 || first*2 < second || second*2 < first {
			t.Errorf("%d proxies: no steady share, %.2f of the budget", n, used)
		}
		if load.served*1000 < load.offered*995 {
			t.Errorf("%d proxies: %d of %d requests served", n, load.served, load.offered)
		}
	}
}

// After a power loss all backend servers are cold at once: they use their whole budget, and
// what no one has room for is refused at once.
func TestFleetThatIsColdAtOnceUsesItsWholeBudget(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(4, 12, func(f *crashFleet) {
		f.warmUp = testWarmUp
		f.warmUp.WarmUp = config.Duration(10 * time.Second)
	})
	servers := f.ofService(0)
	for _, p := range servers {
		f.endBackend(p)
	}
	f.run(backendReturn + time.Second) // listed
	load := f.offerAll(0, 60*len(servers), 8*time.Second)
	f.run(2 * time.Second)
	before := f.arrivalsAt(servers)
	const measured = 5 * time.Second
	f.run(measured)
	used := float64(f.arrivalsAt(servers)-before) / (21 * float64(len(servers)) * measured.Seconds())
	f.run(3 * time.Second)
	t.Logf("%.3f of the budget used; %+v", used, *load)
	for _, p := range servers {
		if _, _, most := f.coldArrivals(p); most > coldBound {
			t.Errorf("%s got %d requests in a second", p.instance(), most)
		}
	}
	if used < minLimitUse {
		t.Errorf("%.3f of the budget used, want at least %g", used, minLimitUse)
	}
	if load.refusedLate*100 > load.refused {
		t.Errorf("%d of %d refusals later than %v", load.refusedLate, load.refused, promptly)
	}
}

// Guards against an entry that is applied again with every list, and so keeps a backend
// server cold, and against effects without a named warm-up.
func TestEntryOfAColdBackendServerCountsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listing := storeListing(t, 7)
	listing.Listing.Instances[0].Instance.WarmUpLeft = 2 * time.Second
	plain := newStoreNode("desk-1")
	is.Equal(len(plain.Step(storeStart, listing).Admission), 0)

	listing.Listing.Configuration.Snapshot = listing.Listing.Configuration.Snapshot.WithServices(map[string]config.ServiceLimits{"desk": testWarmUp})
	n := newStoreNode("desk-1")
	out := n.Step(storeStart, listing)
	is.Equal(out.Admission[1], admission.CheckWarmUp{Path: "/healthz"})
	is.Equal(out.Admission[0].(admission.WarmUpChanged).Instance, "i-1")
	now := storeStart.Add(time.Second)
	out = n.Step(now, admission.WarmUpChecked{Stated: true})
	is.Equal(out.Admission[0].(admission.WarmUpChanged).Cold, false)
	other := source.Entry{ID: "i-2", Revision: 6, Instance: &source.Instance{ID: "i-2", Service: "desk", AvailabilityZone: "tanga", State: source.InstanceLive, BackendAddress: "10.0.0.2:80", Address: "10.0.0.2:81", Slots: 9}}
	is.Equal(len(n.Step(now, StoreChanged{Changes: source.Changes{Revision: 6, Instances: []source.Entry{other}}}).Admission), 0)
	is.Equal(n.coldUntil("i-1"), storeStart.Add(2*time.Second))
	again := listing.Listing.Instances[0]
	again.Revision = 7
	out = n.Step(now, StoreChanged{Changes: source.Changes{Revision: 7, Instances: []source.Entry{again}}})
	is.Equal(out.Admission[0].(admission.WarmUpChanged).Source, warmup.Entry)
	is.Equal(n.coldUntil("i-1"), now.Add(2*time.Second))
	_, err := EncodeEvent(now, admission.MayBeCold{Cause: string(warmup.Evacuation)})
	is.NoErr(err)
	is.Equal(n.Dump().Admission.WarmUp.Limit, 14)
}
