// Package lengths counts prompts by their length and tells how many of each length were answered. A Histogram is owned by
// its caller, takes a bounded amount of memory, and does no input or output.
package lengths

import (
	"fmt"
	"math/bits"
)

const (
	// minBand is the upper bound in tokens of the shortest band; each further band ends at twice the length.
	minBand = 8_000
	// bands is the number of bands with an upper bound; the longest of them ends at 1,024,000 tokens.
	bands = 8
)

// Share is the number of prompts that were answered and the number of all.
type Share struct {
	Answered int64 `json:"answered"`
	All      int64 `json:"all"`
}

// add counts a prompt.
func (s *Share) add(answered bool) {
	s.All++
	if answered {
		s.Answered++
	}
}

// Band is the share of the prompts of a range of lengths.
type Band struct {
	// Name is the upper bound in thousands of tokens, as "64k", and "longer" for the band without one.
	Name string `json:"name"`
	Share
}

// Shares tells how many prompts were answered, of all and by length from the shortest band to the longest. Bands without
// prompts are left out.
type Shares struct {
	All   Share  `json:"all"`
	Bands []Band `json:"bands"`
}

// Histogram counts prompts by length. The zero value is empty and ready to use.
type Histogram struct {
	counts [bands + 1]Share
}

// Record counts a prompt of a number of tokens.
func (h *Histogram) Record(tokens int64, answered bool) { h.counts[bandOf(tokens)].add(answered) }

// Shares returns the shares of the prompts counted so far.
func (h *Histogram) Shares() Shares {
	var s Shares
	for band, share := range h.counts {
		if share.All == 0 {
			continue
		}
		s.All.All += share.All
		s.All.Answered += share.Answered
		s.Bands = append(s.Bands, Band{Name: bandName(band), Share: share})
	}
	return s
}

// BandName returns the name of the band of prompts of a number of tokens.
func BandName(tokens int64) string { return bandName(bandOf(tokens)) }

func bandOf(tokens int64) int {
	return min(bits.Len64(uint64(max(tokens, 1)-1)/minBand), bands)
}

func bandName(band int) string {
	if band == bands {
		return "longer"
	}
	return fmt.Sprintf("%dk", minBand<<band/1000)
}
