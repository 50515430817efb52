package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Three of four backend servers refuse 45% of their requests by themselves, and the
// one in the caller's availability zone is among them. The retry budget covers a part
// of the refused requests only, so the sound one must get what it can take.
func TestRequestsLeaveABackendServerThatShedsByItself(t *testing.T) {
	const (
		shedShare = 0.45
		perSecond = 140 // a quarter of the load, from the proxies of one zone
		seconds   = 8
		service   = 20 * time.Millisecond
	)
	r := New(Config{
		AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1,
		Retries: RetryBudget{Ratio: 0.2, Slack: 62, Window: 10 * time.Second},
	})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	instances := testInstances("desk", 4)
	for i := range instances {
		instances[i].AvailabilityZone = []string{testZone, "b", "c", "b"}[i]
	}
	sound := instances[3].ID
	r.Step(start, InstancesChanged{Instances: instances})
	rng := rand.New(rand.NewPCG(1, 1))
	now, shed, served := start, 0, 0
	for id := range uint64(perSecond * seconds) {
		now = now.Add(time.Second / perSecond)
		effect := r.Step(now, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0]
		for {
			send, ok := effect.(Send)
			if !ok {
				break
			}
			end := answered(id, service)
			if send.Instance != sound && rng.Float64() < shedShare {
				shed++
				end = ended(id, outcome.NotRun, outcome.BackendServerShed)
			}
			effects := r.Step(now, end)
			if len(effects) == 0 {
				served++
				break
			}
			effect = effects[0]
		}
	}
	total := perSecond * seconds
	t.Logf("%d of %d served, %d shed by backend servers", served, total, shed)
	if served < total*95/100 {
		t.Errorf("%d of %d requests served", served, total)
	}
	if shed > total*15/100 {
		t.Errorf("%d requests reached a backend server that shed them, of %d", shed, total)
	}
}
