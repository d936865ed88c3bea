package suspect

import (
	"slices"
	"time"
)

// RunsOnTime is how long a backend server may go on with a request for which nobody waits any more.
const RunsOnTime = time.Second

const (
	// unansweredMemory is how long a request counts as unanswered at a backend server from which nothing more is heard. It exceeds
	// the time after which the platform removes the entry of a server that has ended.
	unansweredMemory = 10 * time.Second

	maxUnansweredServers   = 1024
	maxUnansweredPerServer = 32
)

// UnansweredSend is a request that was sent to a backend server and never answered there.
type UnansweredSend struct {
	Fingerprint Fingerprint
	Parts       []Part
	SentAt      time.Time
	// GaveUpAt is when the process stopped waiting for the answer.
	GaveUpAt time.Time
	// Probe is set if the request was on probe.
	Probe bool
}

// UnansweredSends holds the requests that a process has sent and does not wait for any more: their callers have left, or the
// attempt was given up. A backend server may still run them, and end. They count as evidence until the server is seen alive
// after the time in which it would have ended. UnansweredSends must be used by one goroutine at a time.
type UnansweredSends struct {
	servers map[ServerKey][]UnansweredSend
	// expiredAt is when expire last went over all servers.
	expiredAt time.Time
}

// NewUnansweredSends returns an empty set.
func NewUnansweredSends() *UnansweredSends {
	return &UnansweredSends{servers: map[ServerKey][]UnansweredSend{}}
}

// Record adds a request that was sent to a server. When a server has too many, the oldest one is dropped.
func (u *UnansweredSends) Record(server ServerKey, send UnansweredSend) {
	list := u.servers[server]
	if list == nil && len(u.servers) >= maxUnansweredServers {
		u.expire(send.GaveUpAt)
		if len(u.servers) >= maxUnansweredServers {
			return
		}
	}
	if len(list) >= maxUnansweredPerServer {
		list = slices.Delete(list, 0, 1)
	}
	u.servers[server] = append(list, send)
}

// RecordAlive records that a server was alive, so that it did not end under what was given up long enough before.
func (u *UnansweredSends) RecordAlive(now time.Time, server ServerKey) {
	if list, ok := u.servers[server]; ok {
		u.keep(server, slices.DeleteFunc(list, func(s UnansweredSend) bool { return now.Sub(s.GaveUpAt) >= RunsOnTime }))
	}
}

// RecordEnd returns what counts as evidence now that a server has ended, and forgets it.
func (u *UnansweredSends) RecordEnd(now time.Time, server ServerKey) []UnansweredSend {
	list := slices.DeleteFunc(u.servers[server], func(s UnansweredSend) bool { return now.Sub(s.GaveUpAt) > unansweredMemory })
	delete(u.servers, server)
	return list
}

// Forget drops what was sent to a server that has left as planned.
func (u *UnansweredSends) Forget(server ServerKey) { delete(u.servers, server) }

// Empty reports whether there is no unanswered request.
func (u *UnansweredSends) Empty() bool { return len(u.servers) == 0 }

// Has reports whether a server has unanswered requests.
func (u *UnansweredSends) Has(server ServerKey) bool { return len(u.servers[server]) > 0 }

// expire drops what does not count any more at all servers. It does so at most once a second.
func (u *UnansweredSends) expire(now time.Time) {
	if now.Sub(u.expiredAt) < time.Second {
		return
	}
	u.expiredAt = now
	for server, list := range u.servers {
		u.keep(server, slices.DeleteFunc(list, func(s UnansweredSend) bool { return now.Sub(s.GaveUpAt) > unansweredMemory }))
	}
}

func (u *UnansweredSends) keep(server ServerKey, list []UnansweredSend) {
	if len(list) == 0 {
		delete(u.servers, server)
		return
	}
	u.servers[server] = list
}
