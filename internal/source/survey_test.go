package source

import (
	"testing"

	"github.com/matryer/is"
)

func newStartingFollower(i, n int) *Follower {
	self := zoneList(n)[i].Instance
	return NewFollower(FollowerConfig{AvailabilityZone: self.AvailabilityZone, BackendAddress: self.BackendAddress, RandSeed: uint64(i)})
}

// What a survey lists may have left: it must not be in use before a reader or the store
// has confirmed it.
func TestSurveyIsNotInUse(t *testing.T) {
	is := is.New(t)
	f := newStartingFollower(59, 60)
	is.True(f.FirstCall(testStart).Survey)
	call := f.HandleSurvey(testStart, Listing{Revision: 5, Instances: zoneList(60)})
	is.True(call.Reader != nil)
	is.Equal(call.After, uint64(0))
	is.True(!f.Reachable())
	is.True(f.Reply(RelayRequest{AllowStale: true}).Stale)
	current := zoneList(60)[1:] // the first one has left since
	u, next := f.HandleRelayReply(testStart, call.Reader.ID, RelayReply{Revision: 9, Instances: current}, nil)
	is.Equal(len(u.Instances), 59)
	is.True(f.Reachable())
	is.Equal(next.After, uint64(9))
}

func TestStoreIsListedWhereASurveyDoesNotHelp(t *testing.T) {
	for _, c := range []struct {
		name    string
		listing Listing
	}{
		{"small fleet", Listing{Instances: zoneList(relayMinInstances - 1)}},
		{"the store may be a restored copy", Listing{Era: 2, Instances: zoneList(60)}},
	} {
		is := is.New(t)
		f := newStartingFollower(1, 60)
		call := f.HandleSurvey(testStart, c.listing)
		is.True(call.List)
		is.Equal(len(f.known), 0)
		is.Equal(call.Reader, nil)
	}
	is := is.New(t)
	f := newStartingFollower(1, 60)
	call := f.HandleSurvey(testStart, Listing{Instances: zoneList(60)})
	for range 2 { // both readers of the zone fail
		is.True(call.Reader != nil)
		_, call = f.HandleReaderFailure(testStart, call.Reader.ID, "silent")
	}
	is.True(call.List)
	is.True(!call.At.After(testStart))
}

// In a fleet that starts for the first time, the list is empty at first.
func TestEmptySurveysAreRepeatedAFewTimes(t *testing.T) {
	is := is.New(t)
	f := newStartingFollower(1, 60)
	now, call := testStart, f.FirstCall(testStart)
	for call.Survey {
		now = call.At
		call = f.HandleSurvey(now, Listing{})
	}
	is.True(call.List)
	is.Equal(f.surveys, maxSurveys)
	is.True(now.Sub(testStart) <= maxSurveys*surveyInterval*3/2)
}

// After a loss of power the readers start with the others. Those that ask them wait for
// the reader's list instead of reading the store over their slow links.
func TestStartingProxyWaitsForAReaderThatStarts(t *testing.T) {
	is := is.New(t)
	reader := newStartingFollower(0, 60)
	start := RelayRequest{WaitMs: 800}
	is.True(!reader.CanReplyNow(start))
	is.True(reader.CanReplyNow(RelayRequest{After: 5, List: 1, WaitMs: 800})) // has a state that may be newer
	reader.HandleListing(testStart, Listing{Revision: 9, Instances: zoneList(60)})
	is.True(reader.CanReplyNow(start))
	is.Equal(len(reader.Reply(start).Instances), 60)

	failing := newStartingFollower(0, 60)
	failing.HandleFailure(testStart, false, "unreachable")
	is.True(failing.CanReplyNow(start))
	is.True(failing.Reply(start).Stale)
}
