package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of this package. Callers test for them with errors.Is.
var (
	// ErrInvalid marks a configuration that does not satisfy the rules of this package.
	ErrInvalid = errors.New("invalid configuration")
	// ErrMissingBlob marks a manifest that names a blob which was not supplied.
	ErrMissingBlob = errors.New("missing blob")
	// ErrHashMismatch marks content whose hash differs from the announced one.
	ErrHashMismatch = errors.New("hash mismatch")
	// ErrBase marks a delta made for a snapshot that is not held here.
	ErrBase = errors.New("delta for another base")
	// ErrIncomplete marks a delta that lacks a set of the receiver's scope.
	ErrIncomplete = errors.New("incomplete snapshot")
	// ErrDangling marks a snapshot in which a route names an absent group.
	ErrDangling = errors.New("dangling reference")
)

// Problem is one defect of a configuration file.
type Problem struct {
	File    string `json:"file"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String renders the problem as file:key: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%s: %s", p.File, p.Key, p.Message)
}

// Problems is a non-empty list of defects. It is an error that matches ErrInvalid.
type Problems []Problem

// Error joins all problems, one a line.
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

// problemList collects problems of one file.
type problemList struct {
	file string
	list Problems
	// silenced holds the keys whose defect is reported already.
	silenced map[string]bool
}

// silence keeps back further problems of a key.
func (l *problemList) silence(key string) {
	if l.silenced == nil {
		l.silenced = make(map[string]bool)
	}
	l.silenced[key] = true
}

// add records a problem. Only the first problem of a key in a file is kept.
func (l *problemList) add(key, format string, args ...any) {
	if key != "" && l.silenced[key] {
		return
	}
	l.silence(key)
	l.list = append(l.list, Problem{File: l.file, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (l *problemList) err() error {
	if len(l.list) == 0 {
		return nil
	}
	return l.list
}
