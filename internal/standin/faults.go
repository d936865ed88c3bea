package standin

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// controlPath is the prefix of the paths that control a stand-in, for tests and operators.
	controlPath = "/stand-in/"
	// maxBodyBytes limits a request body: a prompt of 1,000,000 tokens is 4 MB of text, and JSON may double it.
	maxBodyBytes = 16 << 20
)

// Fault is a fault that can be injected into a stand-in. It is a sealed interface: the types below are its only
// implementations.
type Fault interface{ fault() }

// Faults of all stand-ins.
type (
	// Crash closes all connections abruptly and refuses new ones for Downtime (the restart time when zero). An engine
	// or a service then has a new incarnation: the engine has lost its state and is cold, the service still counts the
	// earlier runs. The platform keeps its state.
	Crash struct{ Downtime time.Duration }
	// Freeze accepts requests but does no work and sends no answers for the given time, or until ClearFaults when zero.
	Freeze struct{ Duration time.Duration }
	// SilenceConns stops all answers on the connections that are open, without closing them. New connections work.
	SilenceConns struct{}
	// ClearFaults ends all faults but SilenceConns, which lasts as long as the connections, and TurnCold, which lasts
	// until the engine has warmed up again.
	ClearFaults struct{}
)

// Faults of the engine.
type (
	// TurnCold empties the prefix cache and makes the engine cold, while its load reports still say that it is warm.
	TurnCold struct{}
	// CrashOnMarker crashes the engine whenever it has started a prompt that contains Marker, After the start, also if the prompt
	// was cancelled since. An empty Marker turns the fault off.
	CrashOnMarker struct {
		Marker string
		After  time.Duration
	}
	// IgnoreCancels makes the engine confirm cancellations without ending the streams.
	IgnoreCancels struct{ On bool }
	// IgnoreFences makes the engine execute orders with outdated fencing numbers.
	IgnoreFences struct{ On bool }
	// Slow makes the engine slower by Factor, where 1 is normal speed.
	Slow struct{ Factor float64 }
)

// Faults of the plain service. Delay also applies to the platform.
type (
	// Delay delays each call before it runs.
	Delay struct{ Duration time.Duration }
	// CrashAfterRun crashes the service after each of the next Count calls has run and before it is answered.
	CrashAfterRun struct {
		Count    int
		Downtime time.Duration
	}
	// LoseAnswer runs each of the next Count calls and closes the connection without an answer.
	LoseAnswer struct{ Count int }
	// EndlessAnswers makes each call run and answers it with a body that goes on until the connection is closed.
	EndlessAnswers struct{ On bool }
)

// Faults of the platform.
type (
	// AnswerStatus makes a service write complete answers with this text in place of the status. An empty Text turns the fault
	// off.
	AnswerStatus struct{ Text string }
	// AnswerEarly makes a service write Response before it reads the body of a call, and close the connection. An empty Response
	// turns the fault off.
	AnswerEarly struct{ Response string }
	// Unreachable closes all connections and refuses new ones for the given time, or until the fault is turned off when
	// zero. It cannot be turned off early over HTTP, because the control path is refused too. Turning it off also ends
	// a Freeze.
	Unreachable struct {
		On       bool
		Duration time.Duration
	}
	// Stale keeps serving the values and instances of the time when the fault was turned on.
	Stale struct{ On bool }
)

func (Crash) fault()          {}
func (Freeze) fault()         {}
func (SilenceConns) fault()   {}
func (ClearFaults) fault()    {}
func (TurnCold) fault()       {}
func (CrashOnMarker) fault()  {}
func (IgnoreCancels) fault()  {}
func (IgnoreFences) fault()   {}
func (Slow) fault()           {}
func (Delay) fault()          {}
func (CrashAfterRun) fault()  {}
func (LoseAnswer) fault()     {}
func (EndlessAnswers) fault() {}
func (AnswerStatus) fault()   {}
func (AnswerEarly) fault()    {}
func (Unreachable) fault()    {}
func (Stale) fault()          {}

// faultRequest is the body of POST /stand-in/faults. Times have the format of Go durations.
type faultRequest struct {
	Kind   string  `json:"kind"`
	For    string  `json:"for"`
	Marker string  `json:"marker"`
	Factor float64 `json:"factor"`
	Count  int     `json:"count"`
	On     bool    `json:"on"`
}

func (r faultRequest) fault() (Fault, error) {
	var d time.Duration
	if r.For != "" {
		var err error
		if d, err = time.ParseDuration(r.For); err != nil {
			return nil, &Error{Op: "fault", Kind: KindFault, Err: err}
		}
	}
	switch r.Kind {
	case "crash":
		return Crash{Downtime: d}, nil
	case "freeze":
		return Freeze{Duration: d}, nil
	case "silence":
		return SilenceConns{}, nil
	case "clear":
		return ClearFaults{}, nil
	case "turn-cold":
		return TurnCold{}, nil
	case "crash-on-marker":
		return CrashOnMarker{Marker: r.Marker, After: d}, nil
	case "ignore-cancels":
		return IgnoreCancels{On: r.On}, nil
	case "ignore-fences":
		return IgnoreFences{On: r.On}, nil
	case "slow":
		return Slow{Factor: r.Factor}, nil
	case "delay":
		return Delay{Duration: d}, nil
	case "crash-after-run":
		return CrashAfterRun{Count: r.Count, Downtime: d}, nil
	case "lose-answer":
		return LoseAnswer{Count: r.Count}, nil
	case "endless-answers":
		return EndlessAnswers{On: r.On}, nil
	case "answer-status":
		return AnswerStatus{Text: r.Marker}, nil
	case "unreachable":
		return Unreachable{On: r.On, Duration: d}, nil
	case "stale":
		return Stale{On: r.On}, nil
	}
	return nil, unsupportedFault(r.Kind)
}

func unsupportedFault(fault any) error {
	return &Error{Op: "fault", Kind: KindFault, Err: fmt.Errorf("%v (%T) is no fault of this stand-in", fault, fault)}
}

// handleFaults handles POST /stand-in/faults. Crash and, where it is supported, Unreachable close the connection of the
// request, so the answer to them is sent before they take effect.
func handleFaults(inject func(Fault) error, supportsUnreachable bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request faultRequest
		if !readJSON(w, r, &request) {
			return
		}
		fault, err := request.fault()
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		_, answerFirst := fault.(Crash)
		if _, isUnreachable := fault.(Unreachable); isUnreachable && supportsUnreachable {
			answerFirst = true
		}
		if answerFirst {
			w.WriteHeader(http.StatusNoContent)
			_ = http.NewResponseController(w).Flush()
			_ = inject(fault)
			return
		}
		if err := inject(fault); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
