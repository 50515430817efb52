package node

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Replay reads a recorded event stream, the configuration first, and returns
// the node after its last event. It returns ErrTrace if the stream is
// malformed; a last line that was cut off is passed over, as a process that
// was killed leaves one.
func Replay(r io.Reader) (*Node, error) {
	dec := json.NewDecoder(r)
	var cfg Config
	if err := dec.Decode(&cfg); err != nil {
		return nil, errors.Wrapf(ErrTrace, "configuration: %v", err)
	}
	n := New(cfg)
	for {
		var line TraceLine
		err := dec.Decode(&line)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return n, nil
		}
		if err != nil {
			return nil, errors.Wrapf(ErrTrace, "%v", err)
		}
		event, err := DecodeEvent(line)
		if err != nil {
			return nil, err
		}
		n.Step(line.At, event)
	}
}
