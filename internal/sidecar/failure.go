package sidecar

import (
	"time"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/pkg/answer"
)

// disconnectedStreams returns the live streams whose connection to the engine was lost.
func (b *backend) disconnectedStreams() []*stream {
	var list []*stream
	for _, s := range b.streams {
		if s.disconnected && !s.ended {
			list = append(list, s)
		}
	}
	return list
}

// reattachStreams attaches disconnected streams again, after a probe has shown that the engine is alive.
func (b *backend) reattachStreams(now time.Time) {
	for _, s := range b.disconnectedStreams() {
		s.disconnected = false
		if s.conn == nil && now.Sub(s.detachedAt) > orphanTimeout {
			b.failStream(now, s, answer.ReasonCancelled, false)
			continue
		}
		s.reattachments++
		b.metrics.Add("reattached", 1)
		b.startBackendCall(s)
	}
}

// handleCrash ends all requests after a failure of the backend server. It marks the running ones as suspect, unless
// failure reports are suppressed.
func (b *backend) handleCrash(now time.Time, cause string) {
	var running []suspect.Fingerprint
	for _, s := range b.streams {
		if s.mayRun(now) {
			running = append(running, s.fingerprint)
		}
	}
	b.metrics.Add("backend-crashes", 1)
	b.log.Info("backend server failed", "why", cause, "running", len(running))
	if b.suppressFailureReports {
		for _, s := range b.streams {
			s.conn, s.detachedAt = nil, now
		}
	} else if len(running) > 0 {
		b.broadcastMarks(b.suspects.RecordCrash(now, b.Instance, running), nil)
	}
	for id, s := range b.streams {
		switch {
		case s.started && !s.ended:
			b.failStream(now, s, answer.ReasonBackendFailed, true)
		case s.cancelPending:
			b.releaseStream(now, id, false, s.tokens)
		}
	}
	b.failMembers(now)
	if b.Service == "" {
		// A server that was only frozen continues the streams that were given up here.
		b.ownStreamsOnly, b.foreignPossibleAt = false, now
		b.requestStreamList()
	}
	if b.scheduler != nil {
		b.applyActions(now, b.scheduler.EngineFailed(now))
		b.window.Reset("engine-failed")
		b.observeSlow(now)
	}
}

// mayRun reports whether the backend server may still have been running the request when it failed: also one that was cancelled
// or given up, for a while.
func (s *stream) mayRun(now time.Time) bool {
	if !s.started || !s.ended || s.cancelPending {
		return s.started
	}
	_, failed := s.lastMessage.(*link.Failed)
	return failed && now.Sub(s.endedAt) < suspect.RunsOnTime
}

// hasRunning reports whether the backend server runs any request.
func (b *backend) hasRunning() bool {
	for _, s := range b.streams {
		if s.started && !s.ended {
			return true
		}
	}
	return false
}

// liveRequests counts the requests and group members that have not ended.
func (b *backend) liveRequests() int {
	n := b.liveMembers()
	for _, s := range b.streams {
		if !s.ended {
			n++
		}
	}
	return n
}
