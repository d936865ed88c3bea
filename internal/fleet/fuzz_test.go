package fleet

import (
	"bytes"
	"slices"
	"testing"
)

// FuzzPrefixHashes guards against hashes of a prompt that differ from those of the same prefix in a longer prompt.
func FuzzPrefixHashes(f *testing.F) {
	f.Add([]byte("a question"), 3)
	f.Add(bytes.Repeat([]byte("abcd"), 2000), 4000)
	f.Add([]byte{}, 0)
	f.Fuzz(func(t *testing.T, prompt []byte, cut int) {
		// Inputs are repeated so that short ones reach the lengths at which hashes are more than one block apart.
		prompt = bytes.Repeat(prompt, min(1<<17/max(len(prompt), 1), 64))
		all := PrefixHashes(prompt)
		if len(all) > MaxPrefixHashes {
			t.Fatalf("%d hashes", len(all))
		}
		cut = min(max(cut, 0), len(prompt))
		if part := PrefixHashes(prompt[:cut]); !slices.Equal(part, all[:len(part)]) {
			t.Fatalf("prefix of %d bytes has other hashes", cut)
		}
		if n := len(all); n > 0 && PrefixBytes(n-1) > len(prompt) {
			t.Fatalf("%d hashes of %d bytes", n, len(prompt))
		}
	})
}
