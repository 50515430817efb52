package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/settings"
)

// A fixed limit of 5 s cut requests in the middle of a grace period of 10 s, and would
// have outlasted one of 3 s. Whatever the grace period, requests may run for five sixths
// of it, and the process ends before it.
func TestShutdownPlanFollowsTheGracePeriod(t *testing.T) {
	s := settings.Shutdown{Notice: config.Duration(2500 * time.Millisecond), Limit: config.Duration(2500 * time.Millisecond)}
	for _, grace := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second, 10 * time.Minute} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			is := is.New(t)
			p := planShutdown(s, ShutdownBounds{Notice: 2500 * time.Millisecond, GracePeriod: grace})
			is.True(p.Limit < p.Cut)
			is.True(p.Cut < grace)
			is.True(p.Limit >= grace*5/6)
			is.True(p.Notice <= 3*time.Second)
			is.True(p.Notice <= p.Limit/2)
			is.True(p.AdmitPeers > 0 && p.AdmitPeers < p.Notice)
		})
	}
	is := is.New(t)
	is.Equal(planShutdown(s, ShutdownBounds{}), shutdownPlan{AdmitPeers: 1500 * time.Millisecond, Notice: 2500 * time.Millisecond, Limit: 5 * time.Second, Cut: 5250 * time.Millisecond})
}
