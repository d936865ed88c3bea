package answer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// The kinds of errors of this package.
const (
	// KindGap means that bytes before the offset of a piece are missing.
	KindGap ErrorKind = "gap"
	// KindLength means that the announced length differs from the bytes received.
	KindLength ErrorKind = "length"
	// KindDigest means that the announced digest differs from the digest of the bytes received.
	KindDigest ErrorKind = "digest"
)

// Error reports an incomplete or corrupt answer.
type Error struct {
	Op         string
	Kind       ErrorKind
	Have, Want uint64
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("answer: %s: wrong %s: have %d, want %d", e.Op, e.Kind, e.Have, e.Want)
}

// Assembler checks that the pieces of an answer arrive without gaps and that the answer is complete at its end. The
// zero value is ready to use. An Assembler must not be used by more than one goroutine at a time.
type Assembler struct {
	length      int64
	digest      xxhash.Digest
	initialized bool
}

// Length returns the number of bytes accepted so far.
func (a *Assembler) Length() int64 { return a.length }

// Digest returns the xxhash64 digest of the bytes accepted so far.
func (a *Assembler) Digest() uint64 {
	a.initialize()
	return a.digest.Sum64()
}

func (a *Assembler) initialize() {
	if !a.initialized {
		a.digest.Reset()
		a.initialized = true
	}
}

// Accept adds a piece that starts at offset, in bytes from the start of the answer, and returns the part of it that is
// new. Bytes that were accepted before are dropped, so that a repeated piece returns an empty slice. A piece that
// leaves a gap returns an Error of KindGap and changes nothing.
func (a *Assembler) Accept(offset int64, data []byte) ([]byte, error) {
	a.initialize()
	if offset > a.length {
		return nil, &Error{Op: "accept", Kind: KindGap, Have: uint64(a.length), Want: uint64(offset)}
	}
	overlap := a.length - offset
	if overlap >= int64(len(data)) {
		return nil, nil
	}
	newBytes := data[overlap:]
	_, _ = a.digest.Write(newBytes)
	a.length += int64(len(newBytes))
	return newBytes, nil
}

// Finish checks the assembled answer against the announced length in bytes and the announced xxhash64 digest.
func (a *Assembler) Finish(length int64, digest uint64) (Done, error) {
	a.initialize()
	if length != a.length {
		return Done{}, &Error{Op: "finish", Kind: KindLength, Have: uint64(a.length), Want: uint64(length)}
	}
	if sum := a.digest.Sum64(); sum != digest {
		return Done{}, &Error{Op: "finish", Kind: KindDigest, Have: sum, Want: digest}
	}
	return Done{Length: length, Digest: digest}, nil
}
