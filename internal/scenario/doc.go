// Package scenario holds end-to-end tests under the failures listed in section 1.5 of the design page. Most tests run
// entries, sidecars and stand-ins in one process on virtual time and an in-memory network. Scripts run the same
// components as separate processes on loopback. Each test starts and stops its own fleet.
package scenario
