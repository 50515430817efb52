package node

import (
	"testing"
	"time"
)

// losePower ends all proxies and backend servers. The backend servers start again cold, and
// each proxy has its first version up to the given time after its start.
func (f *crashFleet) losePower(versionDelay time.Duration) {
	f.listDelay = versionDelay
	f.revision++
	for _, p := range f.proxies {
		clear(p.running)
		p.backendGeneration++
		p.coldUntil = f.now.Add(proxyReturn + time.Duration(f.warmUp.WarmUp))
		f.startProxy(p, proxyReturn+f.jitter(proxyReturn/2))
	}
}

// Guards against requests of other proxies without a limit at a proxy that has no version
// yet: after a loss of power 37 in a second reached a cold backend server of 30.5 allowed.
func TestProxyWithoutVersionKeepsTheBoundOfAColdBackendServer(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 24, 77} {
		f := newCrashFleet(uint64(n), n, func(f *crashFleet) { f.warmUp = testWarmUp })
		servers := f.ofService(0)
		f.losePower(time.Second)
		load := f.offerAll(0, 60*len(servers), 4*time.Second)
		f.run(5 * time.Second)
		worst, over, got := 0, 0, 0
		for _, p := range servers {
			first, second, most := f.coldArrivals(p)
			got += first + second
			worst = max(worst, most)
			if most > coldBound {
				over++
			}
		}
		t.Logf("%d proxies: at most %d in a second, %d of %d backend servers above %d; %d requests while cold; %+v", n, worst, over, len(servers), coldBound, got, *load)
		if over > 0 {
			t.Errorf("%d proxies: %d requests in a second at a cold backend server", n, worst)
		}
	}
}

// Guards against the same beside a release: a service under more load than it can serve, some
// of whose machines are replaced, sends the new ones all that the others refuse.
func TestProxyOfANewMachineKeepsTheBoundInAnOverloadedService(t *testing.T) {
	t.Parallel()
	const n = 24
	f := newCrashFleet(n, n, func(f *crashFleet) { f.warmUp = testWarmUp })
	servers := f.ofService(0)
	load := f.offerAll(0, 150*len(servers), 6*time.Second)
	f.run(time.Second)
	f.listDelay = 2 * time.Second
	for _, p := range servers[:4] {
		f.endBackend(p)
		f.startProxy(p, backendReturn)
	}
	f.run(6 * time.Second)
	worst := 0
	for _, p := range servers[:4] {
		_, _, most := f.coldArrivals(p)
		worst = max(worst, most)
	}
	t.Logf("at most %d in a second; %+v", worst, *load)
	if worst > coldBound {
		t.Errorf("%d requests in a second at a cold backend server", worst)
	}
}
