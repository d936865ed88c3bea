package peering

import (
	"math"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/worker"
)

const (
	// maxPaces limits the backend servers whose pace a datagram holds. They take the place of as many loads, which are of about the
	// same size.
	maxPaces = dispatch.MaxPaceReports
	// weightUnit and logUnit are the resolutions of evidence.
	weightUnit, logUnit = 0.1, 0.02
	// maxEvidence limits the evidence accepted from one gateway, and maxLogMean its mean: a factor of 150.
	maxEvidence, maxLogMean = 1000, 5
)

type paceMessage struct {
	_   struct{} `cbor:",toarray"`
	Key uint32
	// Weight is in units of weightUnit, LogMean in units of logUnit.
	Weight  uint32
	LogMean int32
	// Window is 0 without a window, 1 for a closed and 2 for an open one.
	Window     uint8
	Generation uint32
	Grown      int32
}

// The values of paceMessage.Window.
const (
	noWindow = iota
	closedWindow
	openWindow
)

// encodePaces returns the messages for what a gateway has learned of backend servers.
func encodePaces(paces []dispatch.PaceReport) []paceMessage {
	messages := make([]paceMessage, 0, min(len(paces), maxPaces))
	for _, r := range paces[:min(len(paces), maxPaces)] {
		m := paceMessage{Key: uint32(r.Key)}
		if weight := min(math.Round(r.Speed.Weight/weightUnit), maxEvidence/weightUnit); weight >= 1 {
			mean := min(max(r.Speed.LogSum/r.Speed.Weight, -maxLogMean), maxLogMean)
			m.Weight, m.LogMean = uint32(weight), int32(math.Round(mean/logUnit))
		}
		if r.HasWindow {
			m.Window, m.Generation, m.Grown = closedWindow, uint32(r.Window.Generation), int32(r.Window.Grown)
			if r.Window.Open {
				m.Window = openWindow
			}
		}
		messages = append(messages, m)
	}
	return messages
}

func decodePaces(messages []paceMessage) ([]dispatch.PaceReport, error) {
	if len(messages) > maxPaces {
		return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("pace of too many backend servers")}
	}
	var paces []dispatch.PaceReport
	for _, m := range messages {
		weight, mean := float64(m.Weight)*weightUnit, float64(m.LogMean)*logUnit
		// The bounds leave room for errors of rounding.
		if weight > maxEvidence+weightUnit || math.Abs(mean) > maxLogMean+logUnit || m.Window > openWindow ||
			m.Generation > maxCount || m.Grown > maxCount || m.Grown < -maxCount {
			return nil, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("pace out of range")}
		}
		r := dispatch.PaceReport{Key: dispatch.Key(m.Key), Speed: worker.SpeedEvidence{Weight: weight, LogSum: weight * mean}}
		if m.Window != noWindow {
			r.HasWindow = true
			r.Window = worker.WindowReport{Open: m.Window == openWindow, Generation: int(m.Generation), Grown: int(m.Grown)}
		}
		paces = append(paces, r)
	}
	return paces, nil
}

// maxLoadsBeside returns how many loads fit beside the pace of some backend servers.
func maxLoadsBeside(paces int) int { return maxLoads - min(paces, maxPaces) }
