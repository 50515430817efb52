package node

import (
	"encoding/json"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
)

// incidentPrefix starts the keys of rumours about crashes of backend servers.
const incidentPrefix = "quarantine/"

// stepQuarantine passes an event to the quarantine and publishes the resulting
// incidents as rumours.
func (n *Node) stepQuarantine(now time.Time, e quarantine.Event, out *Effects) {
	for _, effect := range n.quarantine.Step(now, e) {
		if recorded, ok := effect.(quarantine.Recorded); ok {
			n.journal.addSuspects(now, recorded)
			continue
		}
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

// handleRumour dispatches a rumour by the prefix of its key. Unknown prefixes are
// ignored.
func (n *Node) handleRumour(now time.Time, r member.Rumour, out *Effects) {
	if isLeaveNotice(r) {
		n.handleLeaveNotice(now, r.Key, out)
		return
	}
	if !strings.HasPrefix(r.Key, incidentPrefix) {
		return
	}
	var incident quarantine.Incident
	if err := json.Unmarshal(r.Payload, &incident); err != nil {
		n.journal.add(now, "malformed quarantine incident ignored", r.Key)
		return
	}
	n.stepQuarantine(now, quarantine.Learnt{Incident: incident}, out)
}
