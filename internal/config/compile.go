package config

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Compiler turns manifests into snapshots. It keeps the compiled organisations
// of the last manifest, so that a change costs what it changes. It is not safe
// for concurrent use.
type Compiler struct {
	compiled  map[unit]result
	templates parsedTemplates
}

// unit identifies the compilation of one organisation.
type unit struct {
	name    string
	content Content
}

type result struct {
	slices   []*Slice
	problems Problems
}

// NewCompiler returns a compiler with an empty cache.
func NewCompiler() *Compiler {
	return &Compiler{compiled: make(map[unit]result)}
}

// Compile returns the snapshot of a manifest whose blobs are given by hash.
//
// An organisation whose content is invalid keeps its previous content and is
// listed as rejected. The whole version is refused with Problems if the
// previous content is missing from the manifest or invalid too, and with
// ErrMissingBlob if a blob is absent. The result depends on the manifest and
// the blobs alone.
func (c *Compiler) Compile(version uint64, m *Manifest, blobs map[Hash][]byte) (*Snapshot, error) {
	next := make(map[unit]result, len(m.Organisations))
	c.templates = make(parsedTemplates)
	sets := make(map[string]map[string]*Slice)
	var rejected []Rejection
	for _, name := range slices.Sorted(maps.Keys(m.Organisations)) {
		entry := m.Organisations[name]
		compiled, err := c.organisation(unit{name, entry.Content}, blobs, next)
		if err != nil {
			return nil, err
		}
		if compiled.problems != nil {
			rejected = append(rejected, Rejection{Organisation: name, Problems: compiled.problems})
			compiled, err = c.previous(name, entry, compiled, blobs, next)
			if err != nil {
				return nil, err
			}
		}
		collect(sets, compiled.slices)
	}
	c.compiled = next
	c.templates = nil
	return NewSnapshot(version, seal(sets), rejected), nil
}

// previous compiles the content that stays in force instead of a rejected one.
func (c *Compiler) previous(name string, entry Entry, current result, blobs map[Hash][]byte, next map[unit]result) (result, error) {
	if entry.Previous == nil {
		return result{}, current.problems
	}
	compiled, err := c.organisation(unit{name, *entry.Previous}, blobs, next)
	if err != nil {
		return result{}, err
	}
	if compiled.problems != nil {
		return result{}, append(slices.Clone(current.problems), compiled.problems...)
	}
	return compiled, nil
}

// organisation compiles one organisation or returns the cached result.
func (c *Compiler) organisation(u unit, blobs map[Hash][]byte, next map[unit]result) (result, error) {
	if u.content == (Content{}) {
		return result{}, nil
	}
	if r, ok := c.compiled[u]; ok {
		next[u] = r
		return r, nil
	}
	r, err := compileUnit(u, blobs, c.templates)
	if err != nil {
		return result{}, err
	}
	next[u] = r
	return r, nil
}

// parsedTemplates holds the templates of one compilation, so that each is
// parsed once for all its organisations.
type parsedTemplates map[templateKey]parsedTemplate

type templateKey struct {
	file string
	hash Hash
}

type parsedTemplate struct {
	template *Template
	err      error
}

// parse returns the template, from memory if it was parsed before.
func (p parsedTemplates) parse(file string, hash Hash, text []byte) (*Template, error) {
	key := templateKey{file, hash}
	if _, ok := p[key]; !ok {
		t, err := ParseTemplate(file, text)
		p[key] = parsedTemplate{t, err}
	}
	return p[key].template, p[key].err
}

func compileUnit(u unit, blobs map[Hash][]byte, templates parsedTemplates) (result, error) {
	templateText, err := blob(blobs, u.content.Template)
	if err != nil {
		return result{}, err
	}
	orgText, err := blob(blobs, u.content.Parameters)
	if err != nil {
		return result{}, err
	}
	org, err := parseAndInstantiate(u.name, u.content.Template, templateText, orgText, templates)
	var problems Problems
	if errors.As(err, &problems) {
		return result{problems: problems}, nil
	}
	if err != nil {
		return result{}, err
	}
	return result{slices: split(org)}, nil
}

// parseAndInstantiate compiles the texts of one organisation.
func parseAndInstantiate(name string, hash Hash, templateText, orgText []byte, templates parsedTemplates) (*Organisation, error) {
	o, err := ParseOrganisation(organisationFile(name), orgText)
	if err != nil {
		return nil, err
	}
	t, err := templates.parse(templateFile(o.Template), hash, templateText)
	if err != nil {
		return nil, err
	}
	return Instantiate(name, t, o)
}

// blob returns the content for a hash. It checks the hash, since blobs come
// from outside.
func blob(blobs map[Hash][]byte, h Hash) ([]byte, error) {
	text, ok := blobs[h]
	if !ok {
		return nil, errors.Wrapf(ErrMissingBlob, "%s", h.Short())
	}
	if HashOf(text) != h {
		return nil, errors.Wrapf(ErrHashMismatch, "blob %s", h.Short())
	}
	return text, nil
}

func collect(sets map[string]map[string]*Slice, compiled []*Slice) {
	for _, s := range compiled {
		if sets[s.Service] == nil {
			sets[s.Service] = make(map[string]*Slice)
		}
		sets[s.Service][s.Organisation] = s
	}
}

func seal(sets map[string]map[string]*Slice) map[string]*ServiceSet {
	out := make(map[string]*ServiceSet, len(sets))
	for service, bySlice := range sets {
		out[service] = NewServiceSet(bySlice)
	}
	return out
}
