package memory

import "math"

const (
	// defaultBytesPerToken applies until a model has reported usage. It is deliberately low: a value that is too
	// low reserves too much memory, but a value that is too high overfills the engine.
	defaultBytesPerToken = 3.0
	// observationWeight is the weight of a new observation in the moving averages.
	observationWeight = 0.1
	// maxModels bounds the memory use. Models are declared, and there are far fewer of them.
	maxModels = 1024
)

type bytesPerToken struct{ mean, deviation float64 }

// TokenEstimator learns the bytes per token of each model from reported usage. The zero value is ready to use.
type TokenEstimator struct{ models map[string]*bytesPerToken }

// Tokens estimates the number of tokens of a prompt of size bytes. The estimate is raised by the mean deviation of
// past observations, because a reservation that is too small overfills the engine.
func (e *TokenEstimator) Tokens(model string, size int64) int64 {
	if size <= 0 {
		return 0
	}
	perToken := defaultBytesPerToken
	if r, ok := e.models[model]; ok {
		perToken = max(r.mean-r.deviation, r.mean/2)
	}
	return int64(math.Ceil(float64(size) / perToken))
}

// Learn updates the estimate with the number of tokens that the engine counted for a prompt of size bytes.
func (e *TokenEstimator) Learn(model string, size, tokens int64) {
	if size <= 0 || tokens <= 0 {
		return
	}
	observed := float64(size) / float64(tokens)
	r, ok := e.models[model]
	if !ok {
		if len(e.models) >= maxModels {
			return
		}
		if e.models == nil {
			e.models = make(map[string]*bytesPerToken)
		}
		e.models[model] = &bytesPerToken{mean: observed}
		return
	}
	r.deviation += observationWeight * (math.Abs(observed-r.mean) - r.deviation)
	r.mean += observationWeight * (observed - r.mean)
}
