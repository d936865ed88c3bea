// Package suspect decides which requests may run again after a backend server failed while they were running. A
// Registry is owned by one goroutine of an entry process or a sidecar. It does not read the clock and performs no I/O.
package suspect

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ErrorKind classifies an Error of this package.
type ErrorKind string

// KindMessage means that a message is malformed.
const KindMessage ErrorKind = "message"

// Error reports a malformed message.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("suspect: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Fingerprint identifies a request by workspace, model and body. A collision would quarantine an innocent request;
// with 128 bits, a random collision is practically impossible. xxhash does not resist deliberate collisions, but the
// workspace is part of the input, so a caller that creates one affects only its own workspace.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. body is the digest of the body, which the entry process has
// computed.
func NewFingerprint(workspace, model string, body [16]byte) Fingerprint {
	var f Fingerprint
	for half := range 2 {
		d := xxhash.NewWithSeed(uint64(half))
		for _, s := range []string{workspace, model} {
			// The length prefix marks the boundary between the strings.
			_, _ = d.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(s))))
			_, _ = d.WriteString(s)
		}
		_, _ = d.Write(body[:])
		binary.LittleEndian.PutUint64(f[8*half:], d.Sum64())
	}
	return f
}

// Short returns the first half of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:8]) }

// BodyDigest returns the digest of a body for NewFingerprint.
func BodyDigest(body []byte) [16]byte {
	var f [16]byte
	for half := range 2 {
		d := xxhash.NewWithSeed(uint64(half))
		_, _ = d.Write(body)
		binary.LittleEndian.PutUint64(f[8*half:], d.Sum64())
	}
	return f
}

// CrashID identifies one failure of one backend server across the whole fleet. A fingerprint has at most one mark for
// each crash id, so a mark that arrives over several links counts once.
type CrashID struct {
	// Incarnation identifies the sidecar process that reported the crash.
	Incarnation uuid.UUID
	// Sequence counts the crashes that this incarnation reported, from 1.
	Sequence uint64
}

// CrashRole describes how a request was running when the server failed.
type CrashRole uint8

const (
	// RolePlain means that no isolated suspect was running on the server.
	RolePlain CrashRole = iota + 1
	// RoleShared means that an isolated suspect, the more likely cause, was running on the same server.
	RoleShared
	// RoleIsolated means that the request was the isolated suspect on the server.
	RoleIsolated
)

// Mark records that a request was running when a server crashed.
type Mark struct {
	Fingerprint Fingerprint
	Crash       CrashID
	Role        CrashRole
	// Remaining is the rest of the mark's lifetime.
	Remaining time.Duration
}

// State is the state of a request in a Registry. It is a sealed interface: NotSuspect, Isolated and Quarantined are its
// only implementations.
//
//sumtype:decl
type State interface{ state() }

// NotSuspect means that the request may run on any server.
type NotSuspect struct{}

// Isolated means that the request may run only on a server that runs no other suspect.
type Isolated struct{}

// Quarantined means that the request must not run before Until.
type Quarantined struct{ Until time.Time }

func (NotSuspect) state()  {}
func (Isolated) state()    {}
func (Quarantined) state() {}
