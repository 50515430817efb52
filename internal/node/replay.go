package node

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Replay reads a trace, which starts with the configuration, and returns the
// node after the last recorded event. It returns ErrTrace if a record cannot be
// decoded. A truncated last line is ignored, as a killed process may leave one.
func Replay(r io.Reader) (*Node, error) {
	dec := json.NewDecoder(r)
	var cfg Config
	if err := dec.Decode(&cfg); err != nil {
		return nil, errors.Wrapf(ErrTrace, "decode configuration: %v", err)
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
