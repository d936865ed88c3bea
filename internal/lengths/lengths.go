// Package lengths counts prompts by their length and tells whether the longest ones of a route are answered as often as
// the others. A Histogram is owned by its caller, takes a bounded amount of memory, and does no input or output.
package lengths

import (
	"math"
	"slices"
)

const (
	// bucketsPerOctave is the number of buckets for each doubling of the length. Bounds of neighboring buckets differ by
	// about 4 %.
	bucketsPerOctave = 16
	// maxBucket is the bucket of all prompts from 16 million tokens on.
	maxBucket = 24 * bucketsPerOctave
)

// Share is the number of prompts that were answered and the number of all.
type Share struct {
	Answered float64 `json:"answered"`
	All      float64 `json:"all"`
}

// Ratio returns the answered part, and 1 if there are no prompts.
func (s Share) Ratio() float64 {
	if s.All == 0 {
		return 1
	}
	return s.Answered / s.All
}

// Against returns the ratio of the share to that of all prompts, and 1 if no prompt was answered.
func (s Share) Against(all Share) float64 {
	if all.Ratio() == 0 {
		return 1
	}
	return s.Ratio() / all.Ratio()
}

// Shares tells how many prompts of different lengths were answered: of all, of the longest tenth, and of the fifth below
// it. The parts of a tenth and a fifth may be fractions, because prompts of one bucket are not told apart.
type Shares struct {
	All          Share `json:"all"`
	LongestTenth Share `json:"longest-tenth"`
	FifthBelow   Share `json:"fifth-below"`
}

// Histogram counts prompts by length. The zero value is empty and ready to use.
type Histogram struct {
	buckets map[int]Share
}

// Record counts a prompt of a number of tokens.
func (h *Histogram) Record(tokens int64, answered bool) {
	if h.buckets == nil {
		h.buckets = map[int]Share{}
	}
	i := bucketOf(tokens)
	s := h.buckets[i]
	s.All++
	if answered {
		s.Answered++
	}
	h.buckets[i] = s
}

func bucketOf(tokens int64) int {
	return min(int(bucketsPerOctave*math.Log2(float64(max(tokens, 1)))), maxBucket)
}

// Shares returns the shares of the prompts counted so far.
func (h *Histogram) Shares() Shares {
	var s Shares
	for _, b := range h.buckets {
		s.All.Answered += b.Answered
		s.All.All += b.All
	}
	tenth := s.All.All / 10
	s.LongestTenth = h.between(0, tenth)
	s.FifthBelow = h.between(tenth, 3*tenth)
	return s
}

// between returns the share of the prompts from one position to another in the order from the longest to the shortest.
func (h *Histogram) between(from, to float64) Share {
	indices := make([]int, 0, len(h.buckets))
	for i := range h.buckets {
		indices = append(indices, i)
	}
	slices.Sort(indices)
	slices.Reverse(indices)
	var part Share
	position := 0.0
	for _, i := range indices {
		b := h.buckets[i]
		overlap := min(to, position+b.All) - max(from, position)
		if overlap > 0 {
			part.All += overlap
			part.Answered += overlap * b.Ratio()
		}
		position += b.All
	}
	return part
}
