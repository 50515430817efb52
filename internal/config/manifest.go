package config

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Keys of the configuration source.
const (
	// ManifestKey holds the manifest. Its revision is the version number.
	ManifestKey = "manifest"
	// BlobPrefix is the key prefix of blobs; the rest of the key is the hash.
	BlobPrefix = "blobs/"
)

// Content identifies the two blobs from which an organisation is compiled: the
// template file and the organisation file, which holds the parameters. The zero
// Content means that the organisation does not exist.
type Content struct {
	Template   Hash `json:"template,omitempty"`
	Parameters Hash `json:"parameters,omitempty"`
}

// Entry is the manifest entry of one organisation.
type Entry struct {
	Content
	// Previous is the last accepted content, which stays in force if the
	// current content is rejected; it is the zero Content if none has been
	// accepted. If Previous is nil, invalid content causes the whole version to
	// be refused.
	Previous *Content `json:"previous,omitempty"`
}

// Manifest lists the blobs of one configuration version. It is written after
// the blobs and refers to them by hash, so that a reader cannot mix the content
// of two versions.
type Manifest struct {
	Organisations map[string]Entry `json:"organisations"`
	// Bundles lists the hashes of blobs that each hold many other blobs. They
	// only reduce the number of reads: a blob that is in no bundle is read
	// individually.
	Bundles []Hash `json:"bundles,omitempty"`
}

// ParseManifest decodes a manifest. Defects are returned as Problems.
func ParseManifest(data []byte) (*Manifest, error) {
	problems := &problemList{file: ManifestKey}
	if len(data) > MaxBlobBytes {
		problems.add("", "%d bytes exceed the maximum of %d", len(data), MaxBlobBytes)
		return nil, problems.err()
	}
	if !utf8.Valid(data) {
		problems.add("", "not valid UTF-8")
		return nil, problems.err()
	}
	m := &Manifest{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(m); err != nil {
		problems.add("", "%v", err)
		return nil, problems.err()
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		problems.add("", "unexpected data after the manifest")
	}
	m.validate(problems)
	if err := problems.err(); err != nil {
		return nil, err
	}
	return m, nil
}

// validate adds the defects of the manifest. A missing organisations key is a
// defect, because accepting it would remove all organisations.
func (m *Manifest) validate(problems *problemList) {
	if m.Organisations == nil {
		problems.add("organisations", "missing")
	}
	if len(m.Bundles) > maxBundles {
		problems.add("bundles", "%d bundles exceed the maximum of %d", len(m.Bundles), maxBundles)
	}
	for _, h := range m.Bundles {
		if !h.valid() {
			problems.add("bundles", "%q is not a valid hash", h)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.Organisations)) {
		key := "organisations." + name
		if !ValidName(name) {
			problems.add(key, "invalid organisation name")
		}
		entry := m.Organisations[name]
		entry.Content.validate(key, problems)
		if entry.Previous != nil && *entry.Previous != (Content{}) {
			entry.Previous.validate(key+".previous", problems)
		}
	}
}

// validate adds a problem for each hash that is missing or malformed.
func (c Content) validate(key string, problems *problemList) {
	if !c.Template.valid() {
		problems.add(key+".template", "%q is not a valid hash", c.Template)
	}
	if !c.Parameters.valid() {
		problems.add(key+".parameters", "%q is not a valid hash", c.Parameters)
	}
}

// checkSize returns a problem if the encoded manifest exceeds the maximum size
// of a value in the configuration source.
func (m *Manifest) checkSize() error {
	problems := &problemList{file: ManifestKey}
	if size := len(m.Encode()); size > MaxBlobBytes {
		problems.add("organisations", "%d organisations need %d bytes, more than the maximum of %d bytes for one value", len(m.Organisations), size, MaxBlobBytes)
	}
	return problems.err()
}

// Encode returns the canonical JSON encoding of the manifest.
func (m *Manifest) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // the type holds only strings
	}
	return data
}

// Blobs returns the sorted hashes of all blobs that organisations refer to.
// Bundles are not included.
func (m *Manifest) Blobs() []Hash {
	set := make(map[Hash]bool)
	for _, e := range m.Organisations {
		set[e.Template] = true
		set[e.Parameters] = true
		if e.Previous != nil {
			set[e.Previous.Template] = true
			set[e.Previous.Parameters] = true
		}
	}
	delete(set, "")
	return slices.Sorted(maps.Keys(set))
}
