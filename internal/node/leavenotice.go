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
	// leaveNoticePrefix starts the key of a leave notice: a rumour that tells an
	// instance that the platform has marked it as leaving. The instance's
	// identifier and incarnation follow, so that a notice does not apply to a
	// later process of the instance.
	leaveNoticePrefix = "leaving/"
	leaveNoticeTTL    = 2 * time.Minute
)

// leaveNoticePayload is a JSON null, as the key carries all information.
var leaveNoticePayload = json.RawMessage("null")

func leaveNoticeKey(r member.Record) string {
	return leaveNoticePrefix + r.ID + "/" + strconv.FormatUint(r.Incarnation, 10)
}

// publishLeaveNotices publishes a leave notice for each instance that the
// platform's list marks as leaving. Only readers publish notices, because only
// they read the list frequently.
func (n *Node) publishLeaveNotices(now time.Time, list []source.Instance, out *Effects) {
	if n.dist.Role() != dist.Reader {
		return
	}
	leaving := make(map[string]bool)
	for _, i := range list {
		if i.State == source.InstanceLeaving {
			leaving[i.ID] = true
		}
	}
	if len(leaving) == 0 {
		n.leaveNotices = nil
		return
	}
	published := make(map[string]bool)
	for _, r := range n.members.View() {
		if !leaving[r.ID] {
			continue
		}
		key := leaveNoticeKey(r)
		published[key] = true
		if !n.leaveNotices[key] {
			n.stepMember(now, member.Publish{Rumour: member.Rumour{Key: key, Payload: leaveNoticePayload, TTL: leaveNoticeTTL}}, out)
		}
	}
	n.leaveNotices = published
}

// handleLeaveNotice starts a graceful shutdown if the notice is addressed to this
// process.
func (n *Node) handleLeaveNotice(now time.Time, key string, out *Effects) {
	if key == leaveNoticeKey(n.members.Self()) {
		n.leave(now, Leave{Cause: "marked as leaving by the platform"}, out)
	}
}

func isLeaveNotice(r member.Rumour) bool {
	return strings.HasPrefix(r.Key, leaveNoticePrefix)
}
