package source_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/source"
	"heatherlift.example/heatherlift/internal/standin/platform"
)

func TestUnchangedListIsNotTransferredAgain(t *testing.T) {
	is := is.New(t)
	p := platform.New(0, 0)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := source.NewClient(server.URL, nil)
	defer client.Close()
	list := source.NewInstanceList(client)
	p.PutInstance(source.Instance{ID: "a", State: source.InstanceLive})

	for n, want := range []bool{true, false, true} {
		if n == 2 {
			p.PutInstance(source.Instance{ID: "a", State: source.InstanceLeaving})
		}
		got, transferred, err := list.Read(context.Background())
		is.NoErr(err)
		is.Equal(transferred, want)
		is.Equal(len(got), 1)
		is.Equal(got[0].State == source.InstanceLeaving, n == 2)
	}

	p.SetFault(platform.FaultDown)
	_, _, err := list.Read(context.Background())
	is.True(errors.Is(err, source.ErrUnavailable))
}

func TestStandInListCanBeStale(t *testing.T) {
	is := is.New(t)
	p := platform.New(0, 0)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := source.NewClient(server.URL, nil)
	defer client.Close()
	list := source.NewInstanceList(client)
	p.SetFault(platform.FaultStale)
	p.PutInstance(source.Instance{ID: "late", State: source.InstanceLive})
	got, _, err := list.Read(context.Background())
	is.NoErr(err)
	is.Equal(len(got), 0)
	p.SetFault(platform.FaultNone)
	got, _, err = list.Read(context.Background())
	is.NoErr(err)
	is.Equal(len(got), 1)
}
