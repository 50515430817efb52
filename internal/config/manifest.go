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
	// BlobPrefix precedes the hash in the key of a blob.
	BlobPrefix = "blobs/"
)

// Content names the two blobs from which one organisation is compiled.
// The zero Content means that the organisation is absent.
type Content struct {
	Template   Hash `json:"template,omitempty"`
	Parameters Hash `json:"parameters,omitempty"`
}

// Entry is the manifest's line for one organisation.
type Entry struct {
	Content
	// Previous is the content accepted before, which stays in force if the
	// current one is rejected. A nil Previous makes the whole version
	// depend on this entry.
	Previous *Content `json:"previous,omitempty"`
}

// Manifest ties the blobs of one version together. It is written last and
// names every blob by hash, so a reader cannot mix two versions.
type Manifest struct {
	Organisations map[string]Entry `json:"organisations"`
	// Bundles names values that hold the texts of many blobs. They save reads
	// and decide nothing: a blob that is not in a bundle is read by itself.
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
		problems.add("", "text after the manifest")
	}
	m.validate(problems)
	if err := problems.err(); err != nil {
		return nil, err
	}
	return m, nil
}

// validate adds the defects of the manifest. A manifest without the key of the
// organisations is no manifest: it would remove them all.
func (m *Manifest) validate(problems *problemList) {
	if m.Organisations == nil {
		problems.add("organisations", "missing")
	}
	if len(m.Bundles) > maxBundles {
		problems.add("bundles", "%d bundles exceed the maximum of %d", len(m.Bundles), maxBundles)
	}
	for _, h := range m.Bundles {
		if !h.valid() {
			problems.add("bundles", "%q is no hash", h)
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
		problems.add(key+".template", "%q is no hash", c.Template)
	}
	if !c.Parameters.valid() {
		problems.add(key+".parameters", "%q is no hash", c.Parameters)
	}
}

// check returns a problem if the manifest exceeds what the source can hold.
func (m *Manifest) check() error {
	problems := &problemList{file: ManifestKey}
	if size := len(m.Encode()); size > MaxBlobBytes {
		problems.add("organisations", "%d organisations make %d bytes, above the maximum of %d for one value", len(m.Organisations), size, MaxBlobBytes)
	}
	return problems.err()
}

// Encode returns the canonical text of the manifest.
func (m *Manifest) Encode() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // the type holds only strings
	}
	return text
}

// Blobs returns the hashes of all blobs that the manifest names, sorted.
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
