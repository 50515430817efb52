package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// splitRoute returns a route that splits its requests between two services.
func splitRoute(desk, hotel int) config.Route {
	r := prefixRoute("split", "/a/", "desk")
	r.Parts = []config.WeightedGroup{{Group: "desk", Weight: desk}, {Group: "hotel", Weight: hotel}}
	return r
}

// newSplitRouter returns the router of one proxy of a fleet.
func newSplitRouter(t *testing.T, seed uint64, route config.Route) *Router {
	t.Helper()
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: seed})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, route)})
	r.Step(start, InstancesChanged{Instances: append(testInstances("desk", 4), testInstances("hotel", 4)...)})
	return r
}

// maxShareError is the deviation of a part's share that a deployment allows in 300
// requests.
const maxShareError = 0.1

// Each part must have its share of the first few hundred requests of the whole fleet,
// of which one proxy sees less than five.
func TestSplitFollowsWeightsOverTheFleet(t *testing.T) {
	for _, proxies := range []int{16, 66, 300} {
		for _, weights := range [][2]int{{90, 10}, {50, 50}, {25, 75}} {
			t.Run(fmt.Sprintf("%d proxies, %v", proxies, weights), func(t *testing.T) {
				hotel, total := 0, 0
				for p := range proxies {
					r := newSplitRouter(t, uint64(p), splitRoute(weights[0], weights[1]))
					for id := range uint64((300 + proxies - 1) / proxies) {
						send := r.Step(start, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/"})[0].(Send)
						total++
						if send.Instance[:5] == "hotel" {
							hotel++
						}
					}
				}
				share, want := float64(hotel)/float64(total), float64(weights[1])/100
				if math.Abs(share-want) > maxShareError {
					t.Errorf("%d of %d requests went to the part with %.2f of the weight", hotel, total, want)
				}
			})
		}
	}
}

// What does not fit into one part is refused: it must not be moved to the other one.
func TestRequestsOfAFullPartAreNotMoved(t *testing.T) {
	is := is.New(t)
	r := newSplitRouter(t, 1, splitRoute(50, 50))
	refused := 0
	now := start
	for id := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		effect := r.Step(now, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/"})[0]
		first := ""
		for {
			send, ok := effect.(Send)
			if !ok {
				refused++
				break
			}
			if first == "" {
				first = send.Instance[:4]
			}
			is.Equal(send.Instance[:4], first)
			end := answered(id, 10*time.Millisecond)
			if first == "hote" {
				end = ended(id, outcome.NotRun, outcome.Overload)
			}
			effects := r.Step(now, end)
			if len(effects) == 0 {
				break
			}
			effect = effects[0]
		}
	}
	is.True(refused >= 90 && refused <= 110) // the share of the full part
}
