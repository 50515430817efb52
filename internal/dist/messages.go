package dist

import "heatherlift.example/heatherlift/internal/config"

// Head identifies a version and its content.
type Head struct {
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root"`
}

// Refusal explains why a version is refused as a whole.
type Refusal struct {
	Version  uint64          `json:"version"`
	Problems config.Problems `json:"problems"`
}

// Announcement notifies a peer of the version that the sender holds.
type Announcement struct {
	From string `json:"from"`
	Head Head   `json:"head"`
	// Refusal is the sender's refusal of a version above its own, if any.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Delta leads to Head from the version that the sender believes the
	// receiver to hold. The receiver pulls if it is absent or does not
	// apply.
	Delta *config.Delta `json:"delta,omitempty"`
}

// PullRequest asks a peer for the version that it holds.
type PullRequest struct {
	From string `json:"from"`
	// Have is the head of the version that the sender holds, zero if none.
	Have Head `json:"have"`
	// Refused is the version that the sender knows to be refused, zero if
	// none.
	Refused uint64 `json:"refused,omitempty"`
	// Services is the scope requested; empty if All is set.
	Services []string `json:"services,omitempty"`
	// All requests every service.
	All bool `json:"all,omitempty"`
}

// PullReply answers a PullRequest.
type PullReply struct {
	// Head identifies the version that the answering proxy holds.
	Head Head `json:"head"`
	// Delta is nil if the answering proxy has nothing newer or defers the
	// transfer.
	Delta *config.Delta `json:"delta,omitempty"`
	// Refusal is set if it is for a later version than Refused of the
	// request.
	Refusal *Refusal `json:"refusal,omitempty"`
	// RetryAfterMs asks the requester to retry after this many
	// milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// SourceCheckedMs is the age in milliseconds, plus one, of the latest
	// answer of the source that the answering proxy knows of; 0 if none.
	SourceCheckedMs int64 `json:"source_checked_ms,omitempty"`
}
