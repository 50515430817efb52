package node

import (
	"testing"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/member"
)

func record(id string, s member.State, version uint64) member.Record {
	return member.Record{ID: id, State: s, Version: version, Ready: version > 0}
}

func TestSummaryOfFleet(t *testing.T) {
	t.Parallel()
	alive := record("a", member.Alive, 7)
	tests := []struct {
		name       string
		records    []member.Record
		unknown    []string
		inForce    uint64
		everywhere bool
	}{
		{"all", []member.Record{alive, record("b", member.Leaving, 7)}, nil, 7, true},
		{"one lags", []member.Record{alive, record("b", member.Alive, 6)}, nil, 6, false},
		{"one has none", []member.Record{alive, record("b", member.Alive, 0)}, nil, 0, false},
		{"suspect has the version", []member.Record{alive, record("b", member.Suspect, 7)}, nil, 7, false},
		{"suspect lags", []member.Record{alive, record("b", member.Suspect, 5)}, nil, 5, false},
		{"partitioned", []member.Record{alive, record("b", member.Partitioned, 5)}, nil, 5, false},
		{"listed, but unknown", []member.Record{alive}, []string{"b"}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := summariseFleet(test.records, test.unknown)
			is.Equal(f.InForce, test.inForce)
			is.Equal(f.Everywhere, test.everywhere)
			is.Equal(f.Live+f.Suspect+f.Partitioned, len(test.records))
		})
	}
}

func TestFleetSummaryListsLaggingAndRefusing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	refusing := record("b", member.Alive, 6)
	refusing.Refused = 7
	f := summariseFleet([]member.Record{record("a", member.Alive, 7), refusing, record("c", member.Suspect, 7)}, []string{"d"})
	is.Equal(f.Lagging, []string{"b"})
	is.Equal(f.RefusedAt, []string{"b"})
	is.Equal(f.Unreachable, []string{"c", "d"})
}
