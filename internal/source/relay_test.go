package source

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// zoneList returns n instances, distributed over two zones.
func zoneList(n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		id := fmt.Sprintf("i-%02d", i)
		zone := "tanga"
		if i%2 == 1 {
			zone = "kilwa"
		}
		list[i] = Entry{ID: id, Revision: 1, Instance: &Instance{
			ID: id, Service: "desk", State: InstanceLive, AvailabilityZone: zone, BackendAddress: id + ":80", PeerAddress: id + ":90",
		}}
	}
	return list
}

// newZoneFollower returns the follower of the proxy that fronts instance i of
// n, and its next call.
func newZoneFollower(i, n int) (*Follower, Call) {
	list := zoneList(n)
	self := list[i].Instance
	f := NewFollower(FollowerConfig{AvailabilityZone: self.AvailabilityZone, BackendAddress: self.BackendAddress, RandSeed: uint64(i / 2)})
	_, call := f.HandleListing(testStart, Listing{Revision: 5, Instances: list})
	return f, call
}

func TestSmallFleetReadsStoreDirectly(t *testing.T) {
	is := is.New(t)
	for i := range relayMinInstances - 1 {
		_, call := newZoneFollower(i, relayMinInstances-1)
		is.Equal(call.Reader, nil)
	}
}

// The number of proxies that call the store must not grow with the fleet.
func TestLargeFleetReadsThroughTwoReadersPerZone(t *testing.T) {
	for _, n := range []int{relayMinInstances, 60, 300} {
		is := is.New(t)
		direct, asked := 0, make(map[string]int)
		for i := range n {
			f, call := newZoneFollower(i, n)
			if call.Reader == nil {
				direct++
				continue
			}
			is.Equal(call.Reader.AvailabilityZone, f.cfg.AvailabilityZone)
			asked[call.Reader.ID]++
		}
		is.Equal(direct, 2*readersPerZone)
		is.Equal(len(asked), 2*readersPerZone) // the load is balanced
	}
}

// settleReaders lets n proxies call each other until the choice of readers is
// stable. The function link returns the bandwidth of each machine in Mbit/s. The
// result holds the reader of each proxy, nil for the store.
func settleReaders(t *testing.T, n int, link func(i int) float64) []*Instance {
	t.Helper()
	proxies := make([]*Follower, n)
	for i := range proxies {
		proxies[i], _ = newZoneFollower(i, n)
		proxies[i].cfg.LinkMbps = link(i)
	}
	follows := make([]*Instance, n)
	for range n {
		for i, f := range proxies {
			call := f.nextCall(testStart)
			follows[i] = call.Reader
			if call.Reader == nil {
				continue
			}
			var asked int
			if _, err := fmt.Sscanf(call.Reader.ID, "i-%d", &asked); err != nil {
				t.Fatal(err)
			}
			request := RelayRequest{Force: call.Force}
			proxies[asked].RecordRelayRequest(testStart, request)
			if proxies[asked].Reply(request).Declined {
				f.HandleReaderDeclined(testStart, call.Reader.ID)
				continue
			}
			f.confirmed[call.Reader.ID] = true
		}
	}
	return follows
}

// Guards against readers with slow links, over which the transfer of a version
// takes too long. Machines with fast links must be the readers; if no link is
// fast, some machines of each zone must be readers nevertheless. No proxy may
// follow a proxy that itself follows a reader.
func TestMachinesWithFastLinksAreReaders(t *testing.T) {
	const slow, fast = 5, 100
	for name, link := range map[string]func(i int) float64{
		"few fast":  func(i int) float64 { return []float64{fast, slow}[min(i/4%8, 1)] },
		"all slow":  func(int) float64 { return slow },
		"all fast":  func(int) float64 { return fast },
		"not known": func(int) float64 { return 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			follows := settleReaders(t, 64, link)
			readers := make(map[string]int)
			for i, reader := range follows {
				if reader == nil {
					readers[zoneList(64)[i].Instance.AvailabilityZone]++
					is.True(name != "few fast" || link(i) == fast)
					continue
				}
				var asked int
				_, err := fmt.Sscanf(reader.ID, "i-%d", &asked)
				is.NoErr(err)
				is.Equal(follows[asked], nil)
			}
			for _, zone := range []string{"tanga", "kilwa"} {
				is.Equal(readers[zone], readersPerZone)
			}
		})
	}
}

// The backend servers beside all machines with fast links of a zone may be gone from the
// list at once. Machines with slow links then read versions from the store, and a version
// that came during such a read was late for the whole zone.
func TestZoneWithoutFastLinksFollowsReadersOfAnother(t *testing.T) {
	is := is.New(t)
	const slow, fast, n = 5, 100, 64
	list := zoneList(n)
	zone := func(i int) string { return list[i].Instance.AvailabilityZone }
	lacking := zone(0)
	link := func(i int) float64 {
		if zone(i) != lacking && i/4%8 == 0 {
			return fast
		}
		return slow
	}
	for i, reader := range settleReaders(t, n, link) {
		if reader == nil {
			is.Equal(link(i), float64(fast)) // follows the store itself
			continue
		}
		var asked int
		_, err := fmt.Sscanf(reader.ID, "i-%d", &asked)
		is.NoErr(err)
		is.Equal(link(asked), float64(fast))
		is.Equal(reader.AvailabilityZone == zone(i), zone(i) != lacking)
	}
}

// newRelayedFollower returns a proxy that follows a reader, and its next call.
func newRelayedFollower(t *testing.T) (*Follower, Call) {
	t.Helper()
	for i := range 60 {
		if f, call := newZoneFollower(i, 60); call.Reader != nil {
			return f, call
		}
	}
	t.Fatal("every proxy follows the store directly")
	return nil, Call{}
}

func TestFailedReadersFallBackToStore(t *testing.T) {
	is := is.New(t)
	f, call := newRelayedFollower(t)
	first := call.Reader.ID
	_, call = f.HandleReaderFailure(testStart, first, "silent")
	is.True(call.Reader != nil && call.Reader.ID != first)
	_, call = f.HandleReaderFailure(testStart, call.Reader.ID, "silent")
	is.Equal(call.Reader, nil)
	is.Equal(call.Wait, time.Duration(0)) // missed changes are read immediately
	_, call = f.HandleChanges(testStart.Add(readerRetryDelay), Changes{Revision: 6})
	is.Equal(call.Reader.ID, first)
}

// Both readers of a zone may stop responding at once. A proxy asked the second one as
// patiently as the first, and learnt only after 3 s that an instance leaves.
func TestTwoSilentReadersAreNoticedInTime(t *testing.T) {
	is := is.New(t)
	const bound, margin, storeRead = 2500 * time.Millisecond, 700 * time.Millisecond, 100 * time.Millisecond
	f, call := newRelayedFollower(t)
	elapsed := time.Duration(0)
	for call.Reader != nil {
		elapsed += call.Wait + margin
		_, call = f.HandleReaderFailure(testStart.Add(elapsed), call.Reader.ID, "silent")
	}
	t.Logf("the store is asked after %v", elapsed)
	is.Equal(call.Wait, time.Duration(0))
	is.True(elapsed+storeRead <= bound)
}

// Regression test: the store stops responding to both readers of a zone just
// before a version is published. The calls of the readers and of the proxies
// that follow them must end early enough to read the version from the store
// within its bound of 2.5 s.
func TestUnresponsiveStoreIsDetectedInTime(t *testing.T) {
	is := is.New(t)
	const bound, transfer, slack = 2500 * time.Millisecond, time.Second, 700 * time.Millisecond
	_, call := newRelayedFollower(t)
	is.True(call.Wait+slack+transfer <= bound)
	f, call := newReader(t)
	is.True(call.Wait+slack+transfer <= bound)
	f.HandleFailure(testStart, false, "silent")
	is.True(f.CanReplyNow(RelayRequest{After: call.After, List: f.ListHash()})) // reported immediately
}

func TestDisconnectedReaderReportsStale(t *testing.T) {
	is := is.New(t)
	f, _ := newZoneFollower(0, 60)
	request := RelayRequest{After: 5, List: f.ListHash(), Version: 1}
	f.acceptConfiguration(&Configuration{Version: 1}, &Update{})
	is.True(!f.CanReplyNow(request))
	f.HandleFailure(testStart, false, "refused")
	is.True(f.CanReplyNow(request))
	is.True(f.Reply(request).Stale)
}

func TestRelayedListReplacesLocalList(t *testing.T) {
	is := is.New(t)
	reader, _ := newZoneFollower(0, 60)
	reader.HandleChanges(testStart, Changes{Revision: 9, Instances: []Entry{removal("i-07", 9)}})
	f, call := newRelayedFollower(t)
	request := RelayRequest{After: call.After, List: f.ListHash()}
	is.True(reader.CanReplyNow(request))
	update, next := f.HandleRelayReply(testStart, "i-00", reader.Reply(request), nil)
	is.Equal(len(update.Instances), 59)
	is.Equal(next.After, uint64(9))
	is.True(!reader.CanReplyNow(RelayRequest{After: next.After, List: f.ListHash()}))
}

// A reader that was disconnected from the store retains entries that may have
// expired. Proxies that stayed connected have seen their removal: the reader
// must neither restore the entries there nor advance those proxies past the
// revision of the removal.
func TestReaderWithRetainedEntriesReportsStale(t *testing.T) {
	is := is.New(t)
	reader, _ := newZoneFollower(0, 60)
	reader.HandleFailure(testStart, false, "refused")
	reader.HandleListing(testStart, Listing{Revision: 9, Instances: zoneList(60)[:59]})
	f, call := newRelayedFollower(t)
	f.HandleChanges(testStart, Changes{Revision: 9, Instances: []Entry{removal("i-59", 9)}})
	request := RelayRequest{After: call.After, List: f.ListHash()}
	is.True(reader.CanReplyNow(request)) // replied to immediately
	is.True(reader.Reply(request).Stale)

	reader.Tick(testStart.Add(reregistrationGrace))
	is.True(!reader.CanReplyNow(request)) // both lists are the same
	is.True(!reader.Reply(request).Stale)

	late, call := newRelayedFollower(t)
	request = RelayRequest{After: call.After, List: late.ListHash()}
	is.True(reader.CanReplyNow(request))
	update, _ := late.HandleRelayReply(testStart, "i-00", reader.Reply(request), nil)
	is.Equal(len(update.Instances), 59)
}

// A reader that lags behind must not restore an older list.
func TestLaggingReaderRelaysNoList(t *testing.T) {
	is := is.New(t)
	reader, _ := newZoneFollower(0, 60)
	f, _ := newRelayedFollower(t)
	f.HandleChanges(testStart, Changes{Revision: 9, Instances: []Entry{removal("i-07", 9)}})
	request := RelayRequest{After: 9, List: f.ListHash()}
	is.True(!reader.CanReplyNow(request))
	is.Equal(reader.Reply(request).Instances, nil)
}

// A watch returns every version of a burst in turn, although only the newest is
// needed.
func TestVersionBurstReadsOnlyNewest(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	_, call := f.HandleChanges(testStart, Changes{Revision: 11, Configuration: &Configuration{Version: 2}})
	is.True(!call.List)
	now := testStart.Add(batchDelay)
	_, call = f.HandleChanges(now, Changes{Revision: 12, Configuration: &Configuration{Version: 3}})
	is.True(call.List)
	_, call = f.HandleListing(now.Add(batchDelay), Listing{Revision: 20, Configuration: &Configuration{Version: 9}, Instances: []Entry{
		entry("a", 8, InstanceLive), entry("b", 9, InstanceLive),
	}})
	is.True(!call.List)
	is.Equal(call.After, uint64(20))
}

// newReader returns a reader of a large fleet, and its next call.
func newReader(t *testing.T) (*Follower, Call) {
	t.Helper()
	for i := range 60 {
		if f, call := newZoneFollower(i, 60); call.Reader == nil {
			return f, call
		}
	}
	t.Fatal("no proxy follows the store directly")
	return nil, Call{}
}

// Versions of 0.5 MB must not delay the list of instances.
func TestLargeFleetWatchesInstancesAndConfigurationSeparately(t *testing.T) {
	is := is.New(t)
	f, call := newReader(t)
	is.Equal(call.Part, InstancesOnly)
	configCall, ok := f.NextConfigurationCall(testStart)
	is.True(ok)
	is.Equal(configCall.Part, ConfigurationOnly)
	is.Equal(configCall.After, uint64(5))
	_, ok = f.NextConfigurationCall(testStart)
	is.True(!ok) // a call is in flight

	update := f.HandleConfiguration(testStart, Changes{Revision: 8, Configuration: &Configuration{Version: 2}})
	is.Equal(update.Configuration.Version, uint64(2))
	configCall, ok = f.NextConfigurationCall(testStart)
	is.True(ok)
	is.True(!configCall.List)
	is.Equal(configCall.After, uint64(8))
	is.Equal(configCall.At, testStart.Add(configurationBatchDelay))

	now := configCall.At
	f.HandleConfiguration(now, Changes{Revision: 9, Versions: 1, Configuration: &Configuration{Version: 3}})
	configCall, _ = f.NextConfigurationCall(now)
	is.True(!configCall.List) // the versions are read as fast as they come
	f.HandleConfiguration(now, Changes{Revision: 11, Versions: 2, Configuration: &Configuration{Version: 5}})
	configCall, _ = f.NextConfigurationCall(now)
	is.True(configCall.List) // they come faster: read only the newest one
}

func TestConfigurationReadIsRetriedAfterFailure(t *testing.T) {
	is := is.New(t)
	f, _ := newReader(t)
	f.NextConfigurationCall(testStart)
	f.HandleConfigurationFailure(testStart, false, "refused")
	configCall, ok := f.NextConfigurationCall(testStart)
	is.True(ok)
	is.True(configCall.At.After(testStart))
	is.True(configCall.List)
	f.HandleConfigurationFailure(testStart, true, "compacted")
	configCall, _ = f.NextConfigurationCall(testStart)
	is.True(configCall.List)
	is.Equal(configCall.At, testStart)
}

func TestRelayedProxyDoesNotReadConfiguration(t *testing.T) {
	is := is.New(t)
	f, _ := newRelayedFollower(t)
	_, ok := f.NextConfigurationCall(testStart)
	is.True(!ok)
}

// After a burst, reading the newest version again returns nothing new, and the
// watch resumes.
func TestUnchangedNewestVersionEndsBurst(t *testing.T) {
	is := is.New(t)
	f, _ := newReader(t)
	f.NextConfigurationCall(testStart)
	f.HandleConfiguration(testStart, Changes{Revision: 8, Configuration: &Configuration{Version: 2}})
	f.NextConfigurationCall(testStart)
	f.HandleConfiguration(testStart, Changes{Revision: 9, Versions: 2, Configuration: &Configuration{Version: 3}})
	call, _ := f.NextConfigurationCall(testStart)
	is.True(call.List)
	f.HandleConfiguration(testStart, Changes{Revision: 9, Configuration: &Configuration{Version: 3}})
	call, _ = f.NextConfigurationCall(testStart)
	is.True(!call.List)
	is.True(call.Wait > 0)
}

// A proxy that followed a reader has seen no revision of the configuration for
// a long time. When its readers fail, it must not read every version since
// then.
func TestReaderFailuresTriggerImmediateNewestRead(t *testing.T) {
	is := is.New(t)
	f, call := newRelayedFollower(t)
	f.HandleRelayReply(testStart, "i-00", RelayReply{Revision: 9}, nil)
	_, call = f.HandleReaderFailure(testStart, call.Reader.ID, "silent")
	f.HandleReaderFailure(testStart, call.Reader.ID, "silent")
	configCall, ok := f.NextConfigurationCall(testStart)
	is.True(ok)
	is.True(configCall.List)
	is.Equal(configCall.At, testStart)
}

// A proxy that had called the store itself stopped reading the configuration as soon as
// a reader could be asked again, 1.3 s before it asked one. If that reader was
// silent as well, a version was in force 2.5 s after its acknowledgement at this proxy alone.
func TestConfigurationIsReadUntilAReaderReplies(t *testing.T) {
	is := is.New(t)
	f, call := newRelayedFollower(t)
	f.HandleRelayReply(testStart, call.Reader.ID, RelayReply{Revision: 9}, nil)
	for call.Reader != nil {
		_, call = f.HandleReaderFailure(testStart, call.Reader.ID, "silent")
	}
	_, ok := f.NextConfigurationCall(testStart)
	is.True(ok)
	now := testStart.Add(readerRetryDelay)
	f.HandleConfiguration(now, Changes{Revision: 10, Configuration: &Configuration{Version: 2}})
	_, ok = f.NextConfigurationCall(now)
	is.True(ok) // the call to the store for instances is still in flight

	_, call = f.HandleChanges(now, Changes{Revision: 11, Instances: []Entry{removal("i-59", 11)}})
	is.Equal(call.At, now) // a call to a reader costs nothing that a delay would save
	f.HandleRelayReply(now, call.Reader.ID, RelayReply{Revision: 11}, nil)
	f.HandleConfiguration(now, Changes{Revision: 11})
	_, ok = f.NextConfigurationCall(now)
	is.True(!ok)
}
