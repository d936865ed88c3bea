package sidecar

import (
	"strings"
	"time"

	"berylward.example/berylward/internal/booking"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/suspect"
)

const (
	// maxLinks bounds the links that a sidecar accepts. It covers each of the 400 entries of the target size with a
	// live connection and a silent one that is being replaced, and as many links again for the other workers of a
	// service.
	maxLinks = 1600
	// maxLinkHeaderBytes bounds the header of an HTTP request that opens a link.
	maxLinkHeaderBytes = 16 << 10
	// maxRemaining is the longest deadline that can be declared.
	maxRemaining = 24 * time.Hour
	// maxTokens is the largest number of tokens that can be declared. It rules out an overflow in sums of a few such
	// numbers.
	maxTokens = 1_000_000_000
	// maxPriority is the largest priority, and the largest weight, that can be declared.
	maxPriority = 1000
	// maxTextBytes bounds the length of names, paths and trace fields.
	maxTextBytes = 16 << 10
	// maxFields bounds the number of headers and of trace context fields.
	maxFields = 64
)

// validOffer reports whether all values of an offer are in the range that entries use. Values from an entry of
// another version, or from a peer that is not an entry, must not overflow sums or use up memory.
func validOffer(m *link.Offer) bool {
	inRange := func(n, low, high int64) bool { return n >= low && n <= high }
	if !inRange(int64(m.Remaining), 1, int64(maxRemaining)) || !inRange(int64(m.Priority), 0, maxPriority) ||
		!inRange(int64(m.Weight), 0, maxPriority) || len(m.Workspace) > booking.MaxKeyLength ||
		len(m.Fingerprint) != len(suspect.Fingerprint{}) || len(m.Trace) > maxFields {
		return false
	}
	for name, value := range m.Trace {
		if len(name)+len(value) > maxTextBytes {
			return false
		}
	}
	if p := m.Prompt; p != nil {
		return inRange(p.Tokens, 0, maxTokens) && inRange(p.MaxTokens, 1, maxTokens) && len(p.Prefixes) <= fleet.MaxPrefixHashes &&
			len(p.Model)+len(p.Adapter)+len(p.Parameters) <= 4*maxTextBytes
	}
	if c := m.Call; c != nil {
		size := len(c.Service) + len(c.Method) + len(c.Path) + len(c.Ticket)
		for name, values := range c.Header {
			size += len(name)
			for _, value := range values {
				size += len(value)
			}
		}
		return size <= 4*maxTextBytes && len(c.Key) <= booking.MaxKeyLength && len(c.Header) <= maxFields && strings.HasPrefix(c.Path, "/")
	}
	return true
}

// validReserve reports whether all values of a group's reservation are in the range that entries use.
func validReserve(m *link.Reserve) bool {
	return m.Remaining > 0 && m.Remaining <= maxRemaining && m.Tokens > 0 && m.Tokens <= maxTokens &&
		len(m.Workspace) <= booking.MaxKeyLength && len(m.Fingerprint) == len(suspect.Fingerprint{})
}

// validSegment reports whether all values of a group's segment are in the range that entries use.
func validSegment(m *link.Segment) bool {
	return m.Remaining > 0 && m.Remaining <= maxRemaining && m.Readers >= 0 && m.Readers <= maxFields &&
		m.Prompt.MaxTokens <= maxTokens && m.Prompt.Tokens >= 0 && m.Prompt.Tokens <= maxTokens &&
		len(m.Prompt.Parameters) <= maxTextBytes && len(m.Trace) <= maxFields
}
