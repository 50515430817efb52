package config

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Layout of a configuration directory.
const (
	templateDir     = "templates"
	organisationDir = "organisations"
	fileExtension   = ".toml"
)

func templateFile(name string) string {
	return templateDir + "/" + name + fileExtension
}

func organisationFile(name string) string {
	return organisationDir + "/" + name + fileExtension
}

// Directory holds the uncompiled files of a configuration directory, keyed by
// file name without extension.
type Directory struct {
	Templates     map[string][]byte
	Organisations map[string][]byte
}

// ReadDirectory reads dir/templates/*.toml and dir/organisations/*.toml.
func ReadDirectory(dir string) (*Directory, error) {
	templates, err := readFiles(filepath.Join(dir, templateDir))
	if err != nil {
		return nil, err
	}
	organisations, err := readFiles(filepath.Join(dir, organisationDir))
	if err != nil {
		return nil, err
	}
	return &Directory{Templates: templates, Organisations: organisations}, nil
}

func readFiles(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration directory")
	}
	files := make(map[string][]byte)
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), fileExtension)
		if !ok || e.IsDir() {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read configuration file")
		}
		files[name] = text
	}
	return files, nil
}

// Check parses, instantiates and validates every organisation with the same code
// as the proxies. It returns the valid organisations by name, and the problems of
// all files, including unused templates. A manifest that could exceed the maximum
// size is a problem too.
func (d *Directory) Check() (map[string]*Organisation, Problems) {
	orgs := make(map[string]*Organisation)
	var all Problems
	templates := make(templateCache)
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		org, err := d.instantiate(name, templates)
		var problems Problems
		if errors.As(err, &problems) {
			all = append(all, problems...)
			continue
		}
		orgs[name] = org
	}
	all = append(all, d.templateProblems()...)
	var problems Problems
	if errors.As(d.worstCaseManifest().checkSize(), &problems) {
		all = append(all, problems...)
	}
	return orgs, uniqueProblems(all)
}

// worstCaseManifest returns a manifest whose encoded organisations field is the
// longest that Pack can produce for the directory: every organisation has both
// current and previous content. The manifest lists no bundles.
func (d *Directory) worstCaseManifest() *Manifest {
	hash := HashOf(nil)
	content := Content{Template: hash, Parameters: hash}
	m := &Manifest{Organisations: make(map[string]Entry, len(d.Organisations))}
	for name := range d.Organisations {
		m.Organisations[name] = Entry{Content: content, Previous: &content}
	}
	return m
}

func (d *Directory) instantiate(name string, templates templateCache) (*Organisation, error) {
	o, err := ParseOrganisation(organisationFile(name), d.Organisations[name])
	if err != nil {
		return nil, err
	}
	text, ok := d.Templates[o.Template]
	if !ok {
		return nil, Problems{{File: o.file, Key: "template", Message: "no template " + o.Template}}
	}
	return parseAndInstantiate(name, HashOf(text), text, d.Organisations[name], templates)
}

// templateProblems returns the problems of all templates. It includes templates
// that no organisation uses yet, so that their defects are reported early.
func (d *Directory) templateProblems() Problems {
	var all Problems
	for _, name := range slices.Sorted(maps.Keys(d.Templates)) {
		_, err := ParseTemplate(templateFile(name), d.Templates[name])
		var problems Problems
		if errors.As(err, &problems) {
			all = append(all, problems...)
		}
	}
	return all
}

// uniqueProblems removes duplicates, such as the problems of a template that
// several organisations use.
func uniqueProblems(list Problems) Problems {
	seen := make(map[Problem]bool)
	var out Problems
	for _, p := range list {
		if !seen[p] {
			seen[p] = true
			out = append(out, p)
		}
	}
	return out
}

// Pack returns the manifest of the directory and its blobs. Each entry carries
// the last accepted content of its organisation, which stays in force if the new
// content is rejected. Published and publishedBlobs are the manifest currently in
// the configuration source and its blobs; published may be nil. Pack does not
// validate the files, but returns Problems if the manifest or a file exceeds the
// maximum size of a value in the source.
func (d *Directory) Pack(published *Manifest, publishedBlobs map[Hash][]byte) (*Manifest, map[Hash][]byte, error) {
	if err := d.checkSizes(); err != nil {
		return nil, nil, err
	}
	m := &Manifest{Organisations: make(map[string]Entry)}
	templates := make(templateCache)
	blobs := make(map[Hash][]byte)
	put := func(text []byte) Hash {
		h := HashOf(text)
		blobs[h] = text
		return h
	}
	for name, text := range d.Organisations {
		content := Content{Parameters: put(text)}
		o, err := ParseOrganisation(organisationFile(name), text)
		if err != nil {
			o = &OrganisationFile{} // packed with an empty template; proxies reject the content
		}
		content.Template = put(d.Templates[o.Template])
		fallback := lastAccepted(name, content, published, publishedBlobs, templates)
		m.Organisations[name] = Entry{Content: content, Previous: &fallback}
		copyBlobs(blobs, fallback, publishedBlobs)
	}
	m.addBundles(blobs, published, publishedBlobs)
	if err := m.checkSize(); err != nil {
		return nil, nil, err
	}
	return m, blobs, nil
}

// checkSizes returns a problem for each file that exceeds MaxBlobBytes.
func (d *Directory) checkSizes() error {
	var all Problems
	check := func(file string, text []byte) {
		problems := &problemList{file: file}
		if len(text) > MaxBlobBytes {
			problems.add("", "%d bytes exceed the maximum of %d", len(text), MaxBlobBytes)
		}
		all = append(all, problems.list...)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Templates)) {
		check(templateFile(name), d.Templates[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		check(organisationFile(name), d.Organisations[name])
	}
	if len(all) == 0 {
		return nil
	}
	return all
}

// lastAccepted returns the content to which the organisation falls back if
// content is rejected: its published content if that is valid and differs from
// content, else the Previous of the published entry. If the published entry has
// no Previous, its content is returned even if it is invalid or equals content.
// If the organisation is not published, the result is the zero Content.
func lastAccepted(name string, content Content, published *Manifest, publishedBlobs map[Hash][]byte, templates templateCache) Content {
	if published == nil {
		return Content{}
	}
	entry, ok := published.Organisations[name]
	if !ok {
		return Content{}
	}
	r, err := compileOrganisation(compileKey{name, entry.Content}, publishedBlobs, templates)
	usable := err == nil && r.problems == nil && entry.Content != content
	if usable || entry.Previous == nil {
		return entry.Content
	}
	return *entry.Previous
}

func copyBlobs(to map[Hash][]byte, c Content, from map[Hash][]byte) {
	for _, h := range []Hash{c.Template, c.Parameters} {
		if text, ok := from[h]; ok {
			to[h] = text
		}
	}
}
