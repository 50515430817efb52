package dist

import "heatherlift.example/heatherlift/internal/config"

// Head names a version and its content.
type Head struct {
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root"`
}

// Refusal tells why a version is refused as a whole.
type Refusal struct {
	Version  uint64          `json:"version"`
	Problems config.Problems `json:"problems"`
}

// Announcement tells a peer that the sender holds a version.
type Announcement struct {
	From string `json:"from"`
	Head Head   `json:"head"`
	// Refusal is the sender's refusal above its version, if any.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Delta makes the version from the one that the receiver is believed
	// to hold. The receiver pulls if it is absent or does not apply.
	Delta *config.Delta `json:"delta,omitempty"`
}

// PullRequest asks a peer for its version.
type PullRequest struct {
	From string `json:"from"`
	// Have is the version that the sender holds, zero if none.
	Have Head `json:"have"`
	// Refused is the version of the sender's refusal, zero if none.
	Refused uint64 `json:"refused,omitempty"`
	// Services is the sender's scope; empty with All set.
	Services []string `json:"services,omitempty"`
	// All asks for every service.
	All bool `json:"all,omitempty"`
}

// PullReply answers a PullRequest.
type PullReply struct {
	// Head is the version that the answering proxy holds.
	Head Head `json:"head"`
	// Delta is nil if the answering proxy has nothing newer.
	Delta *config.Delta `json:"delta,omitempty"`
	// Refusal is set if it is newer than the one of the request.
	Refusal *Refusal `json:"refusal,omitempty"`
	// RetryAfterMs asks the receiver to come back, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// SourceCheckedMs is one more than the milliseconds since the newest
	// answer of the source that the answering proxy knows of, 0 if none.
	SourceCheckedMs int64 `json:"source_checked_ms,omitempty"`
}
