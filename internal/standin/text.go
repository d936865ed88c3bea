package standin

import (
	"berylward.example/berylward/internal/engine"
)

const (
	// bytesPerToken is the length of the text of one token.
	bytesPerToken = 4
	// tokensPerBlock is the size of a block in the prefix cache.
	tokensPerBlock = 64

	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// tokenCount returns the number of tokens in a text of size bytes.
func tokenCount(size int64) int64 { return (size + bytesPerToken - 1) / bytesPerToken }

// hashText extends an FNV-1a hash by a text. Hashing segment by segment gives the hash of the whole text, so a prompt
// that was prefilled on several engines has the same hash as the whole prompt.
func hashText(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// tokenText returns the i-th token of the answer to a prompt with the given hash: three letters and a space.
func tokenText(promptHash uint64, i int64) [bytesPerToken]byte {
	// The finalizer of splitmix64 spreads the index over all bits.
	z := promptHash + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return [bytesPerToken]byte{'a' + byte(z%26), 'a' + byte(z/26%26), 'a' + byte(z/676%26), ' '}
}

// answerText returns the bytes between from and to of the answer to a prompt with the given hash.
func answerText(promptHash uint64, from, to int64) string {
	text := make([]byte, 0, to-from+2*bytesPerToken)
	firstToken := from / bytesPerToken
	for i := firstToken; i*bytesPerToken < to; i++ {
		token := tokenText(promptHash, i)
		text = append(text, token[:]...)
	}
	return string(text[from-firstToken*bytesPerToken : to-firstToken*bytesPerToken])
}

// ExpectedAnswer returns the complete answer of an Engine to a prompt. It depends only on the prompt, so an answer that
// was continued on another engine equals an uninterrupted one.
func ExpectedAnswer(prompt string, maxTokens int64) string {
	return answerText(hashText(fnvOffset, prompt), 0, maxTokens*bytesPerToken)
}

// BlockHashes returns the hashes of the full blocks under which an Engine caches a prompt.
func BlockHashes(model, adapter, prompt string) []engine.BlockHash {
	hashes, _ := blockHashes(model, adapter, fnvOffset, prompt)
	return hashes
}

// blockHashes returns the hashes of the full blocks of text and the hash of the whole text. Both continue from hash.
func blockHashes(model, adapter string, hash uint64, text string) ([]engine.BlockHash, uint64) {
	const blockBytes = tokensPerBlock * bytesPerToken
	seed := hashText(fnvOffset, model+"\x00"+adapter)
	hashes := make([]engine.BlockHash, 0, len(text)/blockBytes)
	for len(text) >= blockBytes {
		hash = hashText(hash, text[:blockBytes])
		hashes = append(hashes, engine.BlockHash(hash^seed))
		text = text[blockBytes:]
	}
	return hashes, hashText(hash, text)
}
