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

// Directory is a configuration directory as operators edit it.
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

// Check compiles every organisation by the code that proxies use. It returns
// the organisations that are valid, by name, and all problems.
func (d *Directory) Check() (map[string]*Organisation, Problems) {
	orgs := make(map[string]*Organisation)
	var all Problems
	templates := make(parsedTemplates)
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		org, err := d.compile(name, templates)
		var problems Problems
		if errors.As(err, &problems) {
			all = append(all, problems...)
			continue
		}
		orgs[name] = org
	}
	all = append(all, d.unusedTemplates()...)
	var problems Problems
	if errors.As(d.largestManifest().check(), &problems) {
		all = append(all, problems...)
	}
	return orgs, dedupe(all)
}

// largestManifest returns a manifest of the size that this directory's can
// reach: every organisation has content and previous content.
func (d *Directory) largestManifest() *Manifest {
	hash := HashOf(nil)
	content := Content{Template: hash, Parameters: hash}
	m := &Manifest{Organisations: make(map[string]Entry, len(d.Organisations))}
	for name := range d.Organisations {
		m.Organisations[name] = Entry{Content: content, Previous: &content}
	}
	return m
}

func (d *Directory) compile(name string, templates parsedTemplates) (*Organisation, error) {
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

// unusedTemplates parses the templates that no organisation uses, so that
// their defects are found before they are.
func (d *Directory) unusedTemplates() Problems {
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

// dedupe removes repeated problems, such as those of a shared template.
func dedupe(list Problems) Problems {
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

// Pack returns the manifest of the directory and its blobs. Each organisation
// keeps the content accepted before as the content that stays in force should
// its own be rejected. Previous is the manifest in the configuration source
// with its blobs; it may be nil. Pack returns Problems if the manifest or a
// file exceeds what the source can hold.
func (d *Directory) Pack(previous *Manifest, previousBlobs map[Hash][]byte) (*Manifest, map[Hash][]byte, error) {
	if err := d.checkSizes(); err != nil {
		return nil, nil, err
	}
	m := &Manifest{Organisations: make(map[string]Entry)}
	templates := make(parsedTemplates)
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
			o = &OrganisationFile{}
		}
		content.Template = put(d.Templates[o.Template])
		kept := accepted(name, content, previous, previousBlobs, templates)
		m.Organisations[name] = Entry{Content: content, Previous: &kept}
		putContent(blobs, kept, previousBlobs)
	}
	m.bundle(blobs, previous, previousBlobs)
	if err := m.check(); err != nil {
		return nil, nil, err
	}
	return m, blobs, nil
}

// checkSizes returns a problem for each file that exceeds a value's maximum.
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

// accepted returns the content of the organisation that was accepted before
// its present content.
func accepted(name string, content Content, previous *Manifest, blobs map[Hash][]byte, templates parsedTemplates) Content {
	if previous == nil {
		return Content{}
	}
	entry, ok := previous.Organisations[name]
	if !ok {
		return Content{}
	}
	r, err := compileUnit(unit{name, entry.Content}, blobs, templates)
	usable := err == nil && r.problems == nil && entry.Content != content
	if usable || entry.Previous == nil {
		return entry.Content
	}
	return *entry.Previous
}

func putContent(blobs map[Hash][]byte, c Content, from map[Hash][]byte) {
	for _, h := range []Hash{c.Template, c.Parameters} {
		if text, ok := from[h]; ok {
			blobs[h] = text
		}
	}
}
