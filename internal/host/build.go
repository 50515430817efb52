package host

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/settings"
)

const (
	suspectAfter = 3 * time.Second
	forgetAfter  = 5 * time.Minute
	pullTimeout  = 5 * time.Second
	backoffMin   = 50 * time.Millisecond
	backoffMax   = 5 * time.Second
)

// nodeConfig derives the reducer's configuration from the settings. The start
// time serves as the incarnation number, so that peers distinguish a restarted
// process from its predecessor.
func nodeConfig(s settings.Settings, start time.Time, adapter *PlatformAdapter) node.Config {
	c := baseConfig(s, start)
	if adapter != nil {
		c.Listed = true
		c.BackendAddress = s.BackendServer.Address
		c.LinkMbps = s.Platform.LinkMbps
		c.Seeds = slices.DeleteFunc(slices.Clone(s.Platform.Seeds), func(a string) bool { return a == s.Listen.Peers })
		c.Dist.Followed = true
		c.ResyncLimit = adapter.ResyncLimit
		c.ReportInterval = time.Duration(s.Platform.ReportInterval)
		c.Routing.Retries = adapter.Retries
		if s.Platform.LinkMbps > 0 {
			c.Routing.SelfAddress = s.Listen.Forward
		}
		c.Admission.MinRetryAfter = adapter.MinRetryAfter
		c.Admission.ColdTolerance = adapter.ColdTolerance
		c.Admission.EvacuationLimit = adapter.EvacuationLimit
		c.Routing.ColdTolerance = adapter.ColdTolerance
	}
	return c
}

// baseConfig returns the part of the configuration that does not depend on the
// adapter.
func baseConfig(s settings.Settings, start time.Time) node.Config {
	seed := xxhash.Sum64String(runID(s.ID, start))
	services := append([]string{s.Service}, s.Calls...)
	return node.Config{
		Member: member.Config{
			Self: member.Record{
				ID:               s.ID,
				Incarnation:      uint64(start.UnixNano()),
				Region:           s.Region,
				AvailabilityZone: s.AvailabilityZone,
				Service:          s.Service,
				Calls:            s.Calls,
				PeerAddress:      s.Listen.Peers,
				ForwardAddress:   s.Listen.Forward,
				Slots:            s.BackendServer.Slots,
			},
			Interval:     time.Duration(s.Distribution.GossipInterval),
			SuspectAfter: suspectAfter,
			ForgetAfter:  forgetAfter,
			Seed:         seed,
		},
		Dist: dist.Config{
			ID:               s.ID,
			AvailabilityZone: s.AvailabilityZone,
			Services:         services,
			Naive:            s.Distribution.Mode == settings.ModeNaive,
			WatchWait:        time.Duration(s.Distribution.WatchWait),
			PullTimeout:      pullTimeout,
			BackoffMin:       backoffMin,
			BackoffMax:       backoffMax,
			Seed:             seed,
		},
		Routing: routing.Config{
			AvailabilityZone: s.AvailabilityZone,
			MaxAttempts:      s.Requests.MaxAttempts,
			Placement:        placement(s.Requests.Placement),
			Seed:             seed,
		},
		Admission: admission.Config{
			Slots:       min(s.BackendServer.Slots, s.BackendServer.Connections),
			QueueLength: s.BackendServer.QueueLength,
		},
		Limit: limit.Config{ID: s.ID},
	}
}

// placement returns the placement policy of a setting.
func placement(setting string) routing.Placement {
	switch setting {
	case settings.PlacementExpectedFinish:
		return routing.PlaceByExpectedFinish
	case settings.PlacementAuto:
		return routing.PlaceByStatedSlowness
	}
	return routing.PlaceByScore
}

// runID identifies one run of the process. It differs after each restart.
func runID(id string, start time.Time) string {
	return id + "-" + strconv.FormatInt(start.UnixNano(), 36)
}
