// Package tablecheck examines a routing table before operators publish it: values that gateways cannot use, entries that
// never take effect, limits that contradict each other, and what differs from the version in force. It reads no file and no
// clock; the decoder of the file gives it a Table, and maps the places of findings back to the file.
package tablecheck

import (
	"crypto/sha256"
	"encoding/hex"

	"berylward.example/berylward/internal/route"
)

// Table is a routing table as its operators wrote it, which may be invalid.
type Table struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// NamesWorkspaces is set if the table has a list of workspaces, which may be empty. Without one, no request needs a key.
	NamesWorkspaces bool
	Workspaces      []Workspace
	// Invalid holds the places whose value the decoder has already reported. The value is zero then, and Check reports
	// nothing else about it.
	Invalid map[Place]bool
}

// Route is a route of the table. Its zero values are those that gateways use for a missing value, except for Shares.
type Route struct {
	route.Route
	// SoleService is the service that all requests go to. It is used if the route has no Shares.
	SoleService string
	// ShortestHeader is the size in bytes of the shortest header of a request on the route.
	ShortestHeader int64
	// Other holds the values that no gateway uses, as text.
	Other map[Field]string
}

// Service is a service of the table.
type Service struct {
	route.Service
	// Engine is nil for plain services. It takes the place of the Engine of the embedded Service.
	Engine *Engine
	Other  map[Field]string
}

// Engine describes the model engines of a service.
type Engine struct {
	route.Engine
	Other map[Field]string
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	route.Limits
	Other map[Field]string
}

// Workspace is a workspace of the table.
type Workspace struct {
	Name string
	Keys []Key
	// Priority takes precedence over that of the route; nil if the workspace has none.
	Priority *int
}

// Key is a caller key. It is secret: String shows a short hash of it.
type Key struct{ value string }

// NewKey returns a key with a value.
func NewKey(value string) Key { return Key{value} }

// shownHashBytes is the length of the hash of a key in findings. It tells a workspace's keys apart and is of no use to a
// caller.
const shownHashBytes = 4

// Size returns the length of the key in bytes.
func (k Key) Size() int { return len(k.value) }

// String returns the beginning of the key's SHA-256 hash in hexadecimal.
func (k Key) String() string {
	sum := sha256.Sum256([]byte(k.value))
	return hex.EncodeToString(sum[:shownHashBytes])
}

// GoString keeps the value out of %#v.
func (k Key) GoString() string { return k.String() }
