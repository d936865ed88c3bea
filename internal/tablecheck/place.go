package tablecheck

import (
	"math"
	"time"

	"berylward.example/berylward/internal/route"
)

// Part is a kind of entry of a routing table.
type Part int

// The parts of a routing table.
const (
	// WholeTable is the table itself: its version, and its lists as a whole.
	WholeTable Part = iota
	RoutePart
	// SharePart is one service of a route.
	SharePart
	ServicePart
	// EnginePart is the description of the model engines of a service.
	EnginePart
	LimitsPart
	WorkspacePart
	// KeyPart is one key of a workspace.
	KeyPart
)

// Field is a value of an entry. An empty Field stands for the entry as a whole.
type Field string

// The fields of the parts.
const (
	FieldVersion    Field = "version"
	FieldRoutes     Field = "routes"
	FieldWorkspaces Field = "workspaces"

	FieldName        Field = "name"
	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldKind        Field = "kind"
	FieldTimeout     Field = "timeout"
	FieldTarget      Field = "target"
	FieldMaxGap      Field = "max-gap"
	FieldMaxAttempts Field = "max-attempts"
	FieldPublic      Field = "public"
	FieldResumable   Field = "resumable"
	FieldPriority    Field = "priority"
	FieldService     Field = "service"
	FieldShares      Field = "shares"
	FieldWeight      Field = "weight"
	FieldKeys        Field = "keys"

	FieldMaxConnections      Field = "max-connections"
	FieldColdRate            Field = "cold-rate"
	FieldSlots               Field = "slots"
	FieldKVCache             Field = "kv-cache"
	FieldStepsPerIteration   Field = "steps-per-iteration"
	FieldStepTime            Field = "step-time"
	FieldStepTimePerSequence Field = "step-time-per-sequence"
	FieldStepTimePerContext  Field = "step-time-per-context"
	FieldPrefillRate         Field = "prefill-rate"
	FieldPrefillPairs        Field = "prefill-pairs"
	FieldChunk               Field = "chunk"
	FieldHop                 Field = "hop"
	FieldUsualPrompt         Field = "usual-prompt"
	FieldUsualAnswer         Field = "usual-answer"

	FieldHeaderBytes   Field = "header-bytes"
	FieldBodyBytes     Field = "body-bytes"
	FieldHeaderTimeout Field = "header-timeout"
	FieldIdleTimeout   Field = "idle-timeout"
)

// OtherField returns the field of a value that no gateway uses and that is compared only.
func OtherField(name string) Field { return Field("other " + name) }

// Place is the place of a value in a table. It names no wire field; the decoder of the file maps it to a path and a line.
type Place struct {
	Part Part
	// Index is the position of a route, service or workspace, from 0. Of a share or key, it is that of its route or workspace.
	Index int
	// Item is the position of a share or key in its entry, from 0.
	Item  int
	Field Field
}

// Range is the range of a number without a unit.
type Range struct {
	Min, Max float64
	// Whole numbers have no fraction.
	Whole bool
}

// Contains reports whether the range contains a number.
func (r Range) Contains(n float64) bool {
	return n >= r.Min && n <= r.Max && (!r.Whole || n == math.Trunc(n))
}

const (
	// maxTime is the longest time limit. A longer one is a wrong unit.
	maxTime = 24 * time.Hour
	// maxStep is the longest time of a token step, of a hop between engines, or of a part of them.
	maxStep = time.Minute
	// maxCount bounds numbers of things at one backend server, and weights, whose sum must not overflow.
	maxCount = 1 << 20
	// maxBytes bounds the limits in bytes. A gateway has less memory.
	maxBytes = 1 << 40
	// maxTokens bounds tokens and rates in tokens per second.
	maxTokens = 1 << 40
	// maxAttempts bounds the backend servers of one request. Gateways send a request 4 times at most.
	maxAttempts = 1000
)

var ranges = map[Field]Range{
	// Version may be a time in nanoseconds.
	FieldVersion:           {Min: 1, Max: 1 << 62, Whole: true},
	FieldMaxAttempts:       {Max: maxAttempts, Whole: true},
	FieldPriority:          {Max: route.MaxPriority, Whole: true},
	FieldWeight:            {Max: maxCount, Whole: true},
	FieldMaxConnections:    {Max: maxCount, Whole: true},
	FieldColdRate:          {Max: maxCount},
	FieldSlots:             {Min: 1, Max: maxCount, Whole: true},
	FieldKVCache:           {Min: 1, Max: maxTokens, Whole: true},
	FieldStepsPerIteration: {Max: maxCount, Whole: true},
	// A rate below one token per second is a wrong unit.
	FieldPrefillRate: {Min: 1, Max: maxTokens},
	FieldChunk:       {Max: maxTokens, Whole: true},
	FieldUsualPrompt: {Max: maxTokens},
	FieldUsualAnswer: {Max: maxTokens},
	FieldHeaderBytes: {Max: maxBytes, Whole: true},
	FieldBodyBytes:   {Max: maxBytes, Whole: true},
}

// RangeOf returns the range of a field that is a number without a unit.
func RangeOf(f Field) Range { return ranges[f] }

// LongestTime returns the largest value of a field that is a time. The smallest one is 0.
func LongestTime(f Field) time.Duration {
	switch f {
	case FieldStepTime, FieldStepTimePerSequence, FieldStepTimePerContext, FieldPrefillPairs, FieldHop:
		return maxStep
	}
	return maxTime
}
