package node

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/source"
)

// replyOfReader returns the reply of a proxy that holds a version of 1,600 routes.
func replyOfReader(tb testing.TB, r source.RelayRequest) source.RelayReply {
	tb.Helper()
	reader := newStoreNode("reader")
	reader.Step(storeStart, Tick{})
	reader.Step(storeStart, StoreListed{Listing: source.Listing{Revision: 5, Configuration: largeConfiguration(tb, 1, 1600)}})
	r.AllowStale = true
	out := reader.Step(storeStart, RelayReceived{Call: 1, Request: r})
	return out.Relay[0].Reply
}

// A reader encoded and compressed a version again for each proxy of its zone, so that in
// a storm of versions the last one got it late.
func TestVersionIsEncodedOnceForAllProxiesOfAZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reader := newStoreNode("reader")
	reader.Step(storeStart, Tick{})
	reader.Step(storeStart, StoreListed{Listing: source.Listing{Revision: 5, Configuration: largeConfiguration(t, 1, 1600)}})
	var packed [2]*byte
	for i := range packed {
		request := newStoreNode("leaf").RelayRequest(source.Call{AllowStale: true})
		out := reader.Step(storeStart, RelayReceived{Call: uint64(i), Request: request})
		packed[i] = &out.Relay[0].Reply.Packed[0]
	}
	is.Equal(packed[0], packed[1])
}

func TestPackedReplyIsSmall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	size := func(r source.RelayRequest) int {
		text, err := json.Marshal(replyOfReader(t, r))
		is.NoErr(err)
		return len(text)
	}
	plain, packed := size(source.RelayRequest{}), size(source.RelayRequest{AcceptsPacked: true})
	t.Logf("%d bytes plain, %d packed", plain, packed)
	is.True(packed < plain/5)
}

// During an upgrade some proxies neither ask for packed deltas nor send them.
func TestDeltasAreReadInBothForms(t *testing.T) {
	t.Parallel()
	for _, request := range []source.RelayRequest{{}, {AcceptsPacked: true}} {
		is := is.New(t)
		reply := replyOfReader(t, request)
		is.Equal(len(reply.Packed) > 0, request.AcceptsPacked)
		is.Equal(len(reply.Delta) > 0, !request.AcceptsPacked)
		leaf := newStoreNode("leaf")
		c, err := leaf.buildFromReply(reply)
		is.NoErr(err)
		is.Equal(c.Version, uint64(1))
	}
	is := is.New(t)
	_, err := newStoreNode("leaf").buildFromReply(source.RelayReply{Packed: []byte("no delta")})
	is.True(err != nil)
}
