package direct

import "time"

// ServerFault is a fault of a backend server in handling requests. It is a sealed interface: NoFault, NeverAnswers,
// NeverBegins, BeginsAfter, Refuses, RefusesFor, RefusesLeases, Leaves, RepeatsRefusal, Errors, ClosesEarly, Pauses, Drips, NoEvents, EndsOnPart,
// EndsOnPath, CutsHead, Unframed, Endless, Unsigned and WrongID are its only implementations.
//
//sumtype:decl
type ServerFault interface{ serverFault() }

// NoFault means that requests are answered normally.
type NoFault struct{}

// NeverAnswers means that requests run but are never answered.
type NeverAnswers struct{}

// NeverBegins means that requests are accepted and never begun, while orders are answered. With NoReport set, the server does not
// answer the question for its reservations either.
type NeverBegins struct{ NoReport bool }

// BeginsAfter means that requests are accepted and begun after a time, in which their reserved memory is not used.
type BeginsAfter struct{ Delay time.Duration }

// Refuses means that requests are refused as not run.
type Refuses struct{}

// RefusesFor means that requests are refused as not run, and that the server wants no requests for a time.
type RefusesFor struct{ For time.Duration }

// Leaves means that requests are answered normally, and that the server announces that it is about to stop.
type Leaves struct{}

// RepeatsRefusal means that the first request on each connection is refused, without an identifier. The refusal is
// written once more when the next request arrives on the connection, which runs and is answered after that.
type RepeatsRefusal struct{}

// RefusesLeases means that orders to reserve memory are refused.
type RefusesLeases struct{}

// Vanished means that orders and requests reach the server and are not answered, as if its machine had gone.
type Vanished struct{}

// Errors means that requests run and are answered with status 500 and a body of Size bytes.
type Errors struct{ Size int }

// ClosesEarly means that the connection is closed early: in the middle of the event that follows event number After,
// or, for other responses, in the middle of the body.
type ClosesEarly struct{ After int }

// Pauses means that the response pauses for a time: after event number After, or, for other responses, before it begins.
type Pauses struct {
	After int
	For   time.Duration
}

// Drips means that the body of a response that is no stream arrives one byte per step, and is too long to end in time.
type Drips struct{}

// NoEvents means that the stream consists of bytes that complete no event and goes on until the connection is closed.
type NoEvents struct{}

// EndsOnPart means that the server ends when it begins an answer to a prompt with a part, whatever else the prompt holds.
type EndsOnPart struct{ Part string }

// EndsOnPath means that the server ends a time after it began to run a request for a path, whether or not the connection of
// the request is still open.
type EndsOnPath struct {
	Path  string
	After time.Duration
}

// CutsHead means that requests run, and that the head of a response ends after a number of its lines, and with it the
// connection.
type CutsHead struct{ Lines int }

// Unframed means that responses have neither a length nor chunks and end with the connection. With Cut set, a stream ends
// in the middle of its last event.
type Unframed struct{ Cut bool }

// StatusText means that requests run and are answered completely, with this text in place of the status. With Refusal set, the
// response also states that the request did not run.
type StatusText struct {
	Text    string
	Refusal bool
}

// Endless means that requests run and that the body of a response goes on until the connection is closed. It completes no event.
type Endless struct {
	// Status is the status of the response. A refusal states that the request did not run.
	Status  int
	Refusal bool
	// Unframed means that the body has no chunks.
	Unframed bool
}

// Unsigned means that responses have no signature.
type Unsigned struct{}

// WrongID means that responses carry the identifier of another request.
type WrongID struct{}

func (NoFault) serverFault()        {}
func (NeverAnswers) serverFault()   {}
func (NeverBegins) serverFault()    {}
func (BeginsAfter) serverFault()    {}
func (Refuses) serverFault()        {}
func (RefusesFor) serverFault()     {}
func (Leaves) serverFault()         {}
func (RepeatsRefusal) serverFault() {}
func (RefusesLeases) serverFault()  {}
func (Vanished) serverFault()       {}
func (Errors) serverFault()         {}
func (ClosesEarly) serverFault()    {}
func (Pauses) serverFault()         {}
func (Drips) serverFault()          {}
func (NoEvents) serverFault()       {}
func (CutsHead) serverFault()       {}
func (Unframed) serverFault()       {}
func (Endless) serverFault()        {}
func (StatusText) serverFault()     {}
func (EndsOnPart) serverFault()     {}
func (EndsOnPath) serverFault()     {}
func (Unsigned) serverFault()       {}
func (WrongID) serverFault()        {}
