package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/internal/source"
)

// A limit that the adapter states and the state machines do not get has no effect, and the
// proxy keeps the times of the known deployments.
func TestLimitsOfThePlatformReachTheStateMachines(t *testing.T) {
	is := is.New(t)
	c := nodeConfig(settings.Settings{ID: "desk-1"}, time.Unix(1, 0), &PlatformAdapter{ResyncLimit: time.Second, EvacuationLimit: 2 * time.Second})
	is.Equal(c.Admission.EvacuationLimit, 2*time.Second)
	listed := node.StoreListed{Listing: source.Listing{Revision: 5}}
	watch := node.New(c).Step(time.Unix(2, 0), listed).Store[0]
	is.True(watch.Wait > 0 && watch.Wait < time.Second)
}
