package platformclient

import "net/netip"

// Value is a published value: the response of GET /v1/values/{name}.
type Value struct {
	Name string `json:"name"`
	// Version increases by one with each publication of this name, starting at 1.
	Version uint64 `json:"version"`
	// Data is at most 1 MB. It is base64 on the wire.
	Data []byte `json:"data"`
}

// Instance is one process in the instance list.
type Instance struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	// Role is entry or sidecar.
	Role string `json:"role"`
	// Service is the plain service next to a sidecar. It is empty next to a model engine.
	Service string `json:"service,omitempty"`
	// Models are the models of the engine next to a sidecar.
	Models []string `json:"models,omitempty"`
	// Leaving is set if the instance is about to be stopped.
	Leaving bool `json:"leaving,omitempty"`
}

// The roles of instances.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// InstanceList is the response of GET /v1/instances. Version increases with each change of the list.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}
