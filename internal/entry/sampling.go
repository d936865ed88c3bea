package entry

import (
	"encoding/json"

	"berylward.example/berylward/pkg/answer"
)

// maxStopSequences is the maximum number of stop sequences, as in the OpenAI API.
const maxStopSequences = 4

// sampling holds the parameters that are passed to the engine unchanged.
type sampling struct {
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
}

// unsupported holds the parameters that would change the form of the answer. A request that sets one is rejected,
// because an answer that ignores it would be wrong without notice.
type unsupported struct {
	Tools       json.RawMessage `json:"tools"`
	Functions   json.RawMessage `json:"functions"`
	Logprobs    json.RawMessage `json:"logprobs"`
	Echo        json.RawMessage `json:"echo"`
	Suffix      json.RawMessage `json:"suffix"`
	BestOf      json.RawMessage `json:"best_of"`
	LogitBias   json.RawMessage `json:"logit_bias"`
	ResponseFmt json.RawMessage `json:"response_format"`
}

// check rejects the first parameter that is out of range.
func (s *sampling) check() *failure {
	limits := []struct {
		name     string
		value    *float64
		min, max float64
	}{
		{"temperature", s.Temperature, 0, 2},
		{"top_p", s.TopP, 0, 1},
		{"frequency_penalty", s.FrequencyPenalty, -2, 2},
		{"presence_penalty", s.PresencePenalty, -2, 2},
	}
	for _, l := range limits {
		if l.value != nil && (*l.value < l.min || *l.value > l.max) {
			return newRejection(answer.ReasonBadRequest, l.name, "field %q: want a number from %g to %g, got %g", l.name, l.min, l.max, *l.value)
		}
	}
	var one string
	var list []string
	if isSet(s.Stop) && json.Unmarshal(s.Stop, &one) != nil && (json.Unmarshal(s.Stop, &list) != nil || len(list) > maxStopSequences) {
		return newRejection(answer.ReasonBadRequest, "stop", "field \"stop\": want a string or a list of up to %d strings", maxStopSequences)
	}
	return nil
}

// check rejects the first unsupported parameter that is set.
func (u *unsupported) check() *failure {
	for _, f := range []struct {
		name  string
		value json.RawMessage
	}{
		{"tools", u.Tools}, {"functions", u.Functions}, {"logprobs", u.Logprobs}, {"echo", u.Echo}, {"suffix", u.Suffix},
		{"best_of", u.BestOf}, {"logit_bias", u.LogitBias}, {"response_format", u.ResponseFmt},
	} {
		if isSet(f.value) && string(f.value) != "false" {
			return newRejection(answer.ReasonBadRequest, f.name, "field %q: not supported", f.name)
		}
	}
	return nil
}

func isSet(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// parameters returns the parameters as JSON for the engine, or nil if none is set.
func (s *sampling) parameters() []byte {
	text, err := json.Marshal(s)
	if err != nil || string(text) == "{}" {
		return nil
	}
	return text
}
