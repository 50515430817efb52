package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/internal/source"
)

// newStoppedHost returns a host with a cancelled context, so that its effects
// start no I/O.
func newStoppedHost(t *testing.T, r *Recorder) *Host {
	t.Helper()
	s := settings.Default()
	s.ID, s.AvailabilityZone, s.Service = "desk-1", "zone-1", "desk"
	s.Distribution.Mode = settings.ModeNaive
	s.Peers.Plaintext = true
	h, err := New(s, log.New(io.Discard), r, nil)
	if err != nil {
		t.Fatal(err)
	}
	var cancel context.CancelFunc
	h.ctx, cancel = context.WithCancel(context.Background())
	cancel()
	h.group = &errgroup.Group{}
	return h
}

func compileExample(t *testing.T) *config.Snapshot {
	t.Helper()
	d, err := config.ReadDirectory("../../examples/pwani-barafu")
	if err != nil {
		t.Fatal(err)
	}
	manifest, blobs, err := d.Pack(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	s, err := config.NewCompiler().Compile(7, manifest, blobs)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func marshalDump(t *testing.T, d node.Dump) string {
	t.Helper()
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestReplayReproducesRecordedState(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	h := newStoppedHost(t, NewRecorder(&stream))
	h.step(node.Tick{})
	h.step(member.Listed{Instances: []source.Instance{{ID: "desk-2", Service: "desk", AvailabilityZone: "zone-1", State: source.InstanceLive, Address: "127.0.0.1:1"}}})
	h.step(dist.SourceRead{Version: 7, Snapshot: compileExample(t)})
	h.step(routing.Arrived{ID: 1, Organisation: "mwanza-fish", Method: "GET", Path: "/orders/1", Budget: time.Second})
	h.step(node.Tick{})
	h.step(node.Leave{Cause: "test"})
	is.Equal(h.Head().Version, uint64(7))

	stream.WriteString(`{"at":"2026-`) // truncated final line
	replayed, err := node.Replay(&stream)
	is.NoErr(err)
	is.Equal(marshalDump(t, replayed.Dump()), marshalDump(t, h.Dump()))
}
