package node

import (
	"encoding/json"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
)

// incidentPrefix begins the keys of rumours about crashes.
const incidentPrefix = "quarantine/"

// stepQuarantine feeds an event to the quarantine and spreads what it
// publishes as a rumour.
func (n *Node) stepQuarantine(now time.Time, e quarantine.Event, out *Effects) {
	for _, effect := range n.quarantine.Step(now, e) {
		publish, ok := effect.(quarantine.Publish)
		if !ok {
			continue
		}
		payload, err := json.Marshal(publish.Incident)
		if err != nil {
			continue
		}
		rumour := member.Rumour{Key: incidentPrefix + publish.Incident.ID, Payload: payload, TTL: publish.TTL}
		n.stepMember(now, member.Publish{Rumour: rumour}, out)
	}
}

// learnRumour passes on a rumour to the state machine that it concerns.
func (n *Node) learnRumour(now time.Time, r member.Rumour, out *Effects) {
	if isMark(r) {
		n.learnMark(now, r.Key, out)
		return
	}
	if !strings.HasPrefix(r.Key, incidentPrefix) {
		return
	}
	var incident quarantine.Incident
	if err := json.Unmarshal(r.Payload, &incident); err != nil {
		n.journal.add(now, "rumour refused", r.Key)
		return
	}
	n.stepQuarantine(now, quarantine.Learnt{Incident: incident}, out)
}
