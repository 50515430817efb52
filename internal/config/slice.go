package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// Slice is the part of an organisation's configuration that applies to one
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

// Hash returns the hash of the slice's canonical JSON encoding.
func (s *Slice) Hash() Hash {
	if s.hash != "" {
		return s.hash
	}
	return HashOf(s.encode())
}

func (s *Slice) encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // the type holds only strings, numbers and booleans
	}
	return data
}

// Size returns the length in bytes of the slice's canonical JSON encoding.
func (s *Slice) Size() int {
	if s.size != 0 {
		return s.size
	}
	return len(s.encode())
}

// cacheHash computes and stores the hash and size. It must be called before
// the slice is shared, because a shared slice is immutable.
func (s *Slice) cacheHash() {
	data := s.encode()
	s.hash = HashOf(data)
	s.size = len(data)
}

// withHash returns s if its hash is cached, else a copy with cached hash and
// size. It does not modify s, because s may belong to a received message that is
// read again.
func (s *Slice) withHash() *Slice {
	if s.hash != "" {
		return s
	}
	out := *s
	out.cacheHash()
	return &out
}

// consistent returns ErrDanglingReference if a route refers to an absent group
// or if the route's Group belongs to another service.
func (s *Slice) consistent() error {
	for _, r := range s.Routes {
		g, ok := s.Groups[r.Group]
		if !ok || g.Service != s.Service {
			return ErrDanglingReference
		}
		for _, part := range r.Parts {
			if _, ok := s.Groups[part.Group]; !ok {
				return ErrDanglingReference
			}
		}
	}
	return nil
}

// splitByService splits an organisation into one slice for each service that is
// the destination of a route's Group.
func splitByService(org *Organisation) []*Slice {
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
		byService[service].cacheHash()
		out = append(out, byService[service])
	}
	return out
}
