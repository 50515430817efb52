package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// ErrPackedDelta is returned for a PackedDelta that cannot be read.
var ErrPackedDelta = errors.New("unreadable packed delta")

// maxDeltaBytes bounds the size of the JSON of a packed delta.
const maxDeltaBytes = 16 << 20

// PackedDelta is the compressed JSON of a Delta. It is made once for all proxies that
// ask for the same delta, so that a reply costs neither its encoding nor its compression.
type PackedDelta []byte

var (
	packer, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(1<<17))
	unpacker, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDeltaBytes))
)

// Pack returns the packed form of the delta.
func (d *Delta) Pack() (PackedDelta, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "pack delta")
	}
	return packer.EncodeAll(text, nil), nil
}

// Unpack returns the delta, or ErrPackedDelta.
func (p PackedDelta) Unpack() (*Delta, error) {
	text, err := unpacker.DecodeAll(p, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrPackedDelta, "%v", err)
	}
	var d Delta
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, errors.Wrapf(ErrPackedDelta, "%v", err)
	}
	return &d, nil
}
