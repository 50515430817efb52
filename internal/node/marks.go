package node

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

const (
	// markPrefix begins the keys of rumours about instances that the platform
	// marked as leaving. The identifier and incarnation follow, so that a mark
	// does not outlive the process that it was meant for.
	markPrefix = "leaving/"
	markTTL    = 2 * time.Minute
)

// markPayload is empty, since the key says all.
var markPayload = json.RawMessage("null")

func markKey(r member.Record) string {
	return markPrefix + r.ID + "/" + strconv.FormatUint(r.Incarnation, 10)
}

// spreadMarks tells instances that the platform's list marks them as leaving.
// Readers do so, because only they read the list often.
func (n *Node) spreadMarks(now time.Time, list []source.Instance, out *Effects) {
	if n.dist.Role() != dist.Reader {
		return
	}
	marked := make(map[string]bool)
	for _, i := range list {
		if i.State == source.InstanceLeaving {
			marked[i.ID] = true
		}
	}
	if len(marked) == 0 {
		n.marks = nil
		return
	}
	spread := make(map[string]bool)
	for _, r := range n.members.View() {
		if !marked[r.ID] {
			continue
		}
		key := markKey(r)
		spread[key] = true
		if !n.marks[key] {
			n.stepMember(now, member.Publish{Rumour: member.Rumour{Key: key, Payload: markPayload, TTL: markTTL}}, out)
		}
	}
	n.marks = spread
}

// learnMark begins to leave if the mark is meant for this process.
func (n *Node) learnMark(now time.Time, key string, out *Effects) {
	if key == markKey(n.members.Self()) {
		n.leave(now, Leave{Cause: "marked by the platform"}, out)
	}
}

func isMark(r member.Rumour) bool {
	return strings.HasPrefix(r.Key, markPrefix)
}
