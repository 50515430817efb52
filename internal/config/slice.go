package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// Slice is the part of an organisation's configuration that concerns one
// service. It is the unit of transfer between proxies and is immutable.
type Slice struct {
	Organisation string           `json:"organisation"`
	Service      string           `json:"service"`
	Routes       []Route          `json:"routes"`
	Groups       map[string]Group `json:"groups"`
	Limits       Limits           `json:"limits"`

	hash Hash
	size int
}

// Hash returns the hash of the slice's canonical text.
func (s *Slice) Hash() Hash {
	if s.hash != "" {
		return s.hash
	}
	return HashOf(s.encode())
}

func (s *Slice) encode() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // the type holds only strings and numbers
	}
	return text
}

// Size returns the length of the slice's canonical text in bytes.
func (s *Slice) Size() int {
	if s.size != 0 {
		return s.size
	}
	return len(s.encode())
}

// seal computes hash and size once, before the slice is shared.
func (s *Slice) seal() {
	text := s.encode()
	s.hash = HashOf(text)
	s.size = len(text)
}

// sealed returns s if its hash is known, else a sealed copy. The slice of a
// received message is not changed, so that the message may be read again.
func (s *Slice) sealed() *Slice {
	if s.hash != "" {
		return s
	}
	out := *s
	out.seal()
	return &out
}

// consistent reports ErrDangling if a route names an absent group or its first
// group is one of another service.
func (s *Slice) consistent() error {
	for _, r := range s.Routes {
		g, ok := s.Groups[r.Group]
		if !ok || g.Service != s.Service {
			return ErrDangling
		}
		for _, part := range r.Parts {
			if _, ok := s.Groups[part.Group]; !ok {
				return ErrDangling
			}
		}
	}
	return nil
}

// split divides an organisation into one slice for each service that its
// routes lead to.
func split(org *Organisation) []*Slice {
	byService := make(map[string]*Slice)
	for _, r := range org.Routes {
		g := org.Groups[r.Group]
		s, ok := byService[g.Service]
		if !ok {
			s = &Slice{
				Organisation: org.Name,
				Service:      g.Service,
				Groups:       make(map[string]Group),
				Limits:       org.Limits,
			}
			byService[g.Service] = s
		}
		s.Routes = append(s.Routes, r)
		s.Groups[r.Group] = g
		for _, part := range r.Parts {
			s.Groups[part.Group] = org.Groups[part.Group]
		}
	}
	out := make([]*Slice, 0, len(byService))
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		byService[service].seal()
		out = append(out, byService[service])
	}
	return out
}
