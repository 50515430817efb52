package host

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"heatherlift.example/heatherlift/internal/node"
)

// Recorder writes the configuration and the events of a reducer as JSON lines
// for node.Replay. A nil Recorder writes nothing.
type Recorder struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewRecorder returns a recorder that writes one JSON object per line.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{enc: json.NewEncoder(w)}
}

func (r *Recorder) writeConfig(cfg node.Config) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.enc.Encode(cfg)
}

// writeEvent records an event. It skips events that node.EncodeEvent cannot
// encode.
func (r *Recorder) writeEvent(now time.Time, e node.Event) {
	if r == nil {
		return
	}
	line, err := node.EncodeEvent(now, e)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.enc.Encode(line)
}
