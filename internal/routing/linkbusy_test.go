package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// linkRefusal returns the refusal of a download for which the link of the instance's
// machine has no time.
func linkRefusal(id uint64, reason outcome.Reason) AttemptEnded {
	return AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: reason, RetryAfter: time.Second, LinkBusy: true}
}

// A burst of refused downloads must not take the instances away from short requests, nor
// make them look refusing. The next download still avoids them.
func TestRefusedDownloadsDoNotTakeInstancesFromShortRequests(t *testing.T) {
	is := is.New(t)
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	photos, look := prefixRoute("photos", "/photos/", "desk"), prefixRoute("look", "/a/", "desk")
	photos.Download = true
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, photos, look)})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 6)})
	download := func(id uint64) Effect {
		return r.Step(start, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/photos/1"})[0]
	}
	for id := range uint64(30) {
		for send, ok := download(id).(Send); ok; {
			reason := outcome.InstanceBusy
			if send.MaxWaitShare == 0 {
				reason = outcome.Overload
			}
			send, ok = r.Step(start, linkRefusal(id, reason))[0].(Send)
		}
	}
	for _, i := range r.instances {
		is.Equal(i.refusalRate, 0.0)
	}
	short := arrive(r, 100).(Send)
	is.Equal(short.Choice.Candidates, 6) // all are offered short requests
	is.Equal(short.MaxWaitShare, offerMaxWaitShare)
	is.Equal(download(101).(Send).Choice.Candidates, 0)
	later := start.Add(2 * time.Second)
	next := r.Step(later, Arrived{ID: 102, Organisation: "a.example", Method: "GET", Path: "/photos/1"})[0].(Send)
	is.Equal(next.Choice.Candidates, 6)
}
