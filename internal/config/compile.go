package config

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Compiler compiles manifests into snapshots. It caches the compiled
// organisations of the last manifest, so that a new version compiles only the
// organisations that changed. It is not safe for concurrent use.
type Compiler struct {
	cache     map[compileKey]compileResult
	templates templateCache
}

// compileKey is the cache key of a compiled organisation.
type compileKey struct {
	name    string
	content Content
}

// compileResult holds the slices of a valid organisation or the problems of an
// invalid one. It is empty for an organisation that does not exist.
type compileResult struct {
	slices   []*Slice
	problems Problems
}

// NewCompiler returns a compiler with an empty cache.
func NewCompiler() *Compiler {
	return &Compiler{cache: make(map[compileKey]compileResult)}
}

// Compile builds the snapshot of a manifest from its blobs, keyed by hash.
//
// An organisation whose content is invalid keeps its previous content and is
// listed as rejected. The whole version is refused with Problems if the
// previous content is missing from the manifest or invalid too, with
// ErrMissingBlob if a blob is absent, and with ErrHashMismatch if a blob does not
// match its hash. The result depends only on the arguments.
func (c *Compiler) Compile(version uint64, m *Manifest, blobs map[Hash][]byte) (*Snapshot, error) {
	newCache := make(map[compileKey]compileResult, len(m.Organisations))
	c.templates = make(templateCache)
	sets := make(map[string]map[string]*Slice)
	var rejected []Rejection
	for _, name := range slices.Sorted(maps.Keys(m.Organisations)) {
		entry := m.Organisations[name]
		compiled, err := c.compileCached(compileKey{name, entry.Content}, blobs, newCache)
		if err != nil {
			return nil, err
		}
		if compiled.problems != nil {
			rejected = append(rejected, Rejection{Organisation: name, Problems: compiled.problems})
			compiled, err = c.compilePrevious(name, entry, compiled, blobs, newCache)
			if err != nil {
				return nil, err
			}
		}
		addSlices(sets, compiled.slices)
	}
	c.cache = newCache
	c.templates = nil
	return NewSnapshot(version, newServiceSets(sets), rejected), nil
}

// compilePrevious compiles the previous content of an organisation whose current
// content was rejected.
func (c *Compiler) compilePrevious(name string, entry Entry, current compileResult, blobs map[Hash][]byte, newCache map[compileKey]compileResult) (compileResult, error) {
	if entry.Previous == nil {
		return compileResult{}, current.problems
	}
	compiled, err := c.compileCached(compileKey{name, *entry.Previous}, blobs, newCache)
	if err != nil {
		return compileResult{}, err
	}
	if compiled.problems != nil {
		return compileResult{}, append(slices.Clone(current.problems), compiled.problems...)
	}
	return compiled, nil
}

// compileCached returns the cached result for key, or compiles the organisation.
// Either result is stored in newCache, which replaces the cache once the whole
// manifest is compiled.
func (c *Compiler) compileCached(key compileKey, blobs map[Hash][]byte, newCache map[compileKey]compileResult) (compileResult, error) {
	if key.content == (Content{}) {
		return compileResult{}, nil
	}
	if r, ok := c.cache[key]; ok {
		newCache[key] = r
		return r, nil
	}
	r, err := compileOrganisation(key, blobs, c.templates)
	if err != nil {
		return compileResult{}, err
	}
	newCache[key] = r
	return r, nil
}

// templateCache holds the parsed templates of one compilation, so that each
// template is parsed only once for all organisations that use it.
type templateCache map[templateKey]parsedTemplate

type templateKey struct {
	file string
	hash Hash
}

type parsedTemplate struct {
	template *Template
	err      error
}

// parse returns the parsed template, from the cache if possible.
func (p templateCache) parse(file string, hash Hash, text []byte) (*Template, error) {
	key := templateKey{file, hash}
	if _, ok := p[key]; !ok {
		t, err := ParseTemplate(file, text)
		p[key] = parsedTemplate{t, err}
	}
	return p[key].template, p[key].err
}

func compileOrganisation(key compileKey, blobs map[Hash][]byte, templates templateCache) (compileResult, error) {
	templateText, err := verifiedBlob(blobs, key.content.Template)
	if err != nil {
		return compileResult{}, err
	}
	orgText, err := verifiedBlob(blobs, key.content.Parameters)
	if err != nil {
		return compileResult{}, err
	}
	org, err := parseAndInstantiate(key.name, key.content.Template, templateText, orgText, templates)
	var problems Problems
	if errors.As(err, &problems) {
		return compileResult{problems: problems}, nil
	}
	if err != nil {
		return compileResult{}, err
	}
	return compileResult{slices: splitByService(org)}, nil
}

// parseAndInstantiate parses an organisation file and its template, substitutes
// the parameters and validates the result.
func parseAndInstantiate(name string, templateHash Hash, templateText, orgText []byte, templates templateCache) (*Organisation, error) {
	o, err := ParseOrganisation(organisationFile(name), orgText)
	if err != nil {
		return nil, err
	}
	t, err := templates.parse(templateFile(o.Template), templateHash, templateText)
	if err != nil {
		return nil, err
	}
	return Instantiate(name, t, o)
}

// verifiedBlob returns the blob with hash h. It verifies the hash, because
// blobs come from outside the process.
func verifiedBlob(blobs map[Hash][]byte, h Hash) ([]byte, error) {
	text, ok := blobs[h]
	if !ok {
		return nil, errors.Wrapf(ErrMissingBlob, "%s", h.Short())
	}
	if HashOf(text) != h {
		return nil, errors.Wrapf(ErrHashMismatch, "blob %s", h.Short())
	}
	return text, nil
}

func addSlices(sets map[string]map[string]*Slice, added []*Slice) {
	for _, s := range added {
		if sets[s.Service] == nil {
			sets[s.Service] = make(map[string]*Slice)
		}
		sets[s.Service][s.Organisation] = s
	}
}

func newServiceSets(sets map[string]map[string]*Slice) map[string]*ServiceSet {
	out := make(map[string]*ServiceSet, len(sets))
	for service, byOrganisation := range sets {
		out[service] = NewServiceSet(byOrganisation)
	}
	return out
}
