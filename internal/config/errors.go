package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of this package. Callers test for them with errors.Is.
var (
	// ErrInvalid is returned for a configuration that fails validation.
	ErrInvalid = errors.New("invalid configuration")
	// ErrMissingBlob is returned if a blob listed in a manifest is not supplied.
	ErrMissingBlob = errors.New("missing blob")
	// ErrHashMismatch is returned for content that does not match its expected
	// hash, service or organisation, and for a delta with a null slice.
	ErrHashMismatch = errors.New("hash mismatch")
	// ErrBaseMismatch is returned for a delta whose base is not the given
	// snapshot or set.
	ErrBaseMismatch = errors.New("delta base mismatch")
	// ErrIncompleteSnapshot is returned if neither a delta nor its base holds
	// a service set in the receiver's scope.
	ErrIncompleteSnapshot = errors.New("incomplete snapshot")
	// ErrDanglingReference is returned for a snapshot in which a route refers
	// to a group that is absent or, for the route's own group, belongs to
	// another service.
	ErrDanglingReference = errors.New("dangling reference")
)

// Problem is one defect of a configuration file. The root hash of a snapshot
// covers the problems of rejected organisations, so proxies running different
// releases agree on it only if the releases use the same messages.
type Problem struct {
	File string `json:"file"`
	// Key is the dotted key of the value, or empty for a defect of the whole
	// file.
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String renders the problem as file:key: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%s: %s", p.File, p.Key, p.Message)
}

// Problems is a list of defects. Used as an error, it is not empty and matches
// ErrInvalid.
type Problems []Problem

// Error returns all problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (ps Problems) Is(target error) bool {
	return target == ErrInvalid
}

// problemList collects the problems of one file.
type problemList struct {
	file string
	list Problems
	// suppressed holds the keys for which add records no problem, because one
	// has been recorded already or because suppress was called.
	suppressed map[string]bool
}

// suppress causes add to ignore later problems of a key.
func (l *problemList) suppress(key string) {
	if l.suppressed == nil {
		l.suppressed = make(map[string]bool)
	}
	l.suppressed[key] = true
}

// add records a problem, unless its key is suppressed, and suppresses the key.
// Problems of the whole file, which have an empty key, are all recorded.
func (l *problemList) add(key, format string, args ...any) {
	if key != "" && l.suppressed[key] {
		return
	}
	l.suppress(key)
	l.list = append(l.list, Problem{File: l.file, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (l *problemList) err() error {
	if len(l.list) == 0 {
		return nil
	}
	return l.list
}
