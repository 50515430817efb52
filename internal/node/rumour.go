package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/member"
)

// handleRumour dispatches a rumour by the prefix of its key. Unknown prefixes are
// ignored.
func (n *Node) handleRumour(now time.Time, r member.Rumour, out *Effects) {
	if isLeaveNotice(r) {
		n.handleLeaveNotice(now, r.Key, out)
	}
}
