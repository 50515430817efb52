package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
)

func TestCreditRequestIsAnsweredAndRecorded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_000, 0)
	n := New(Config{Limit: limit.Config{ID: "a"}})
	ask := limit.CreditRequest{Organisation: "acme", Limit: 100, Version: 1, Rate: 2}
	event := limit.Received{Call: 7, Request: limit.Request{From: "b", CreditRequests: []limit.CreditRequest{ask}}}
	line, err := EncodeEvent(now, event)
	is.NoErr(err)
	replayed, err := DecodeEvent(line)
	is.NoErr(err)
	effects := n.Step(now, replayed)
	is.Equal(len(effects.Limit), 1)
	answer := effects.Limit[0].(limit.SendReply)
	is.Equal(answer.Call, uint64(7))
	is.True(answer.Reply.Grants[0].Credits >= 1)
	is.Equal(n.RequestStats().Limit.Grants, uint64(1))
}

func TestOnlyLiveAndReadyProxiesOwnLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	view := []member.Record{
		{ID: "a", Ready: true, PeerAddress: "127.0.0.1:1"},
		{ID: "b", Ready: true, State: member.Suspect},
		{ID: "c", Ready: true, State: member.Leaving},
		{ID: "d"},
	}
	is.Equal(limitOwners(view), []limit.Member{{ID: "a", Address: "127.0.0.1:1"}})
}
