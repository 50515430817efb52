package config

import (
	"encoding/json"
	"maps"
	"slices"
	"unicode/utf8"
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
	if err := json.Unmarshal(data, m); err != nil {
		problems.add("", "%v", err)
		return nil, problems.err()
	}
	for _, name := range slices.Sorted(maps.Keys(m.Organisations)) {
		if !ValidName(name) {
			problems.add("organisations."+name, "invalid organisation name")
		}
	}
	return m, problems.err()
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
