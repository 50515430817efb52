package config

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// DecodeStrict decodes TOML text into target. Unknown keys, type mismatches and
// syntax errors are appended to problems. It reports whether decoding succeeded.
func DecodeStrict(text []byte, target any, file string, problems *Problems) bool {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(target)
	if err == nil {
		return true
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			*problems = append(*problems, Problem{File: file, Key: joinKey(strict.Errors[i].Key()), Message: "unknown key"})
		}
		return false
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		*problems = append(*problems, Problem{File: file, Key: joinKey(decode.Key()), Message: decode.Error()})
		return false
	}
	*problems = append(*problems, Problem{File: file, Message: err.Error()})
	return false
}

func joinKey(key toml.Key) string {
	return strings.Join(key, ".")
}
