package peering

import (
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/route"
)

// maxWorkspaces limits the entries of engine time by workspace in a datagram.
const maxWorkspaces = 8

// workspaceMessage is the time of a workspace in the work of one rank for a service. Sent and Forfeited are in units of workUnit.
type workspaceMessage struct {
	_               struct{} `cbor:",toarray"`
	Workspace       uint32
	Sent, Forfeited uint32
}

// encodeWorkspaces returns the messages for the times that workspaces have got in the work of one rank for a service.
func encodeWorkspaces(work dispatch.LongWork, times []dispatch.WorkspaceTime) []workspaceMessage {
	var messages []workspaceMessage
	for _, w := range times {
		if w.Service == work.Service && w.Rank == work.Rank {
			messages = append(messages, workspaceMessage{Workspace: uint32(w.Workspace), Sent: workUnits(w.Sent), Forfeited: workUnits(w.Forfeited)})
		}
	}
	return messages
}

func decodeWorkspaces(work []workMessage) ([]dispatch.WorkspaceTime, error) {
	var times []dispatch.WorkspaceTime
	for _, m := range work {
		if len(times)+len(m.Workspaces) > maxWorkspaces {
			return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("time of too many workspaces")}
		}
		for _, w := range m.Workspaces {
			if w.Sent > maxCount || w.Forfeited > maxCount {
				return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("time of a workspace out of range")}
			}
			times = append(times, dispatch.WorkspaceTime{
				Service: dispatch.Key(m.Service), Rank: route.Rank(m.Rank), Workspace: dispatch.Key(w.Workspace),
				Sent: time.Duration(w.Sent) * workUnit, Forfeited: time.Duration(w.Forfeited) * workUnit,
			})
		}
	}
	return times, nil
}
