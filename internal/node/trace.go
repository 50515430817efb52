package node

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/dedupe"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
)

// ErrTrace reports a trace record that cannot be encoded or decoded.
var ErrTrace = errors.New("invalid trace record")

// TraceLine is one recorded event.
type TraceLine struct {
	At    time.Time       `json:"at"`
	Kind  string          `json:"kind"`
	Event json.RawMessage `json:"event"`
}

// recordableEvents holds the types of the events that a trace may contain. A trace
// records the events passed to Node.Step. Events that Node passes from one of its
// state machines to another, such as routing.SnapshotEnforced and
// routing.InstancesChanged, are not recorded, as a replay generates them again.
// Some types that occur only among these are accepted nevertheless:
// member.Publish, dist.Published, admission.Draining and admission.Assigned.
var recordableEvents = eventTypes(
	Tick{}, Leave{}, StoreListed{}, StoreSurveyed{}, StoreChanged{}, StoreFailed{}, StoreRelayed{}, ReaderDelayed{}, VersionsChanged{}, VersionsFailed{}, RelayReceived{}, QuestionAnswered{}, VersionHeard{},
	member.Listed{}, member.Received{}, member.Answered{}, member.Failed{}, member.Publish{},
	dist.Announced{}, dist.PullReceived{}, dist.Pulled{}, dist.SourceRead{}, dist.Published{},
	routing.Arrived{}, routing.AttemptEnded{}, routing.Reported{}, routing.BodySent{}, routing.Withheld{}, routing.Abandoned{},
	admission.Arrived{}, admission.Ended{}, admission.Abandoned{}, admission.Draining{}, admission.Assigned{},
	limit.Received{}, limit.Answered{}, limit.Failed{},
	admission.Checked{}, admission.Loaded{}, admission.Reported{}, admission.FenceReceived{},
	admission.WarmUpChecked{}, admission.MayBeCold{},
	dedupe.ClaimReceived{}, dedupe.ClaimAnswered{}, dedupe.Settled{}, dedupe.SyncReceived{}, dedupe.SyncAnswered{},
	quarantine.Received{}, quarantine.Replied{}, quarantine.Failed{},
)

func eventTypes(events ...Event) map[string]reflect.Type {
	types := make(map[string]reflect.Type, len(events))
	for _, e := range events {
		t := reflect.TypeOf(e)
		types[t.String()] = t
	}
	return types
}

// EncodeEvent returns the trace line of an event.
func EncodeEvent(now time.Time, e Event) (TraceLine, error) {
	kind := reflect.TypeOf(e).String()
	if _, ok := recordableEvents[kind]; !ok {
		return TraceLine{}, errors.Wrapf(ErrTrace, "event type %s cannot be recorded", kind)
	}
	text, err := json.Marshal(e)
	if err != nil {
		return TraceLine{}, errors.Wrapf(ErrTrace, "%v", err)
	}
	return TraceLine{At: now, Kind: kind, Event: text}, nil
}

// DecodeEvent returns the event of a trace line.
func DecodeEvent(line TraceLine) (Event, error) {
	t, ok := recordableEvents[line.Kind]
	if !ok {
		return nil, errors.Wrapf(ErrTrace, "unknown event type %q", line.Kind)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(line.Event, v.Interface()); err != nil {
		return nil, errors.Wrapf(ErrTrace, "%s: %v", line.Kind, err)
	}
	return v.Elem().Interface(), nil
}
