package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

// recentVersionPeriod is how long a proxy names a version to others after it came into
// force. Those that have not got it by then ask.
const recentVersionPeriod = 3 * time.Second

// VersionHeard reports that another proxy, identified by its instance, enforces a version.
type VersionHeard struct {
	From    string
	Version uint64
}

// RecentVersion returns the version in force if it has come into force recently, 0
// otherwise.
func (n *Node) RecentVersion(now time.Time) uint64 {
	if now.Sub(n.inForceSince) >= recentVersionPeriod {
		return 0
	}
	return n.inForceVersion
}

// QuestionAnswered is the reply of another proxy that was asked for the operator's part of
// the store.
type QuestionAnswered struct {
	Peer  string
	Reply source.RelayReply
	// Err is empty if the call succeeded.
	Err string
}

// applyAnswer passes the answer of another proxy to the follower. A version that cannot be
// used counts as a failure of the sender.
func (n *Node) applyAnswer(now time.Time, e QuestionAnswered) source.Update {
	var c *source.Configuration
	if e.Err == "" {
		var err error
		if c, err = n.buildFromReply(e.Reply); err != nil {
			n.journal.add(now, "version of another proxy not used", e.Peer+": "+err.Error())
			e.Err = err.Error()
			n.follower.HandleUnusableVersion()
		}
	}
	return n.follower.HandleAnswer(now, e.Peer, e.Reply, c, e.Err)
}

// askOthers emits the next question to another proxy if one is due.
func (n *Node) askOthers(now time.Time, out *Effects) {
	update, call, ok := n.follower.NextQuestion(now)
	n.applyUpdate(now, update, out)
	if ok {
		out.Store = append(out.Store, call)
	}
}
