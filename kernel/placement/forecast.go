package placement

import (
	"math"
	"time"
)

const (
	fastMemory = 5 * time.Second
	slowMemory = time.Minute
	trendGain  = 1.0 // of the rise that is expected to go on while a load runs
	slowFloor  = 0.5 // of the slow average below which the forecast does not fall
)

// Forecast foretells the demand for each model from what was seen.
type Forecast struct {
	models map[string]*average
}

type average struct {
	fast float64
	slow float64
	at   time.Time
}

// NewForecast returns a forecast that has seen nothing.
func NewForecast() *Forecast { return &Forecast{models: map[string]*average{}} }

// Observe takes the demand for a model, in places, at now.
func (forecast *Forecast) Observe(model string, demand float64, now time.Time) {
	seen := forecast.models[model]
	if seen == nil {
		forecast.models[model] = &average{fast: demand, slow: demand, at: now}
		return
	}
	elapsed := now.Sub(seen.at)
	seen.at = now
	seen.fast += (demand - seen.fast) * weight(elapsed, fastMemory)
	seen.slow += (demand - seen.slow) * weight(elapsed, slowMemory)
}

func weight(elapsed, memory time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/memory.Seconds())
}

// Demand returns the demand to plan for, in places.
func (forecast *Forecast) Demand(model string) float64 {
	seen := forecast.models[model]
	if seen == nil {
		return 0
	}
	rising := seen.fast + trendGain*max(seen.fast-seen.slow, 0)
	return max(rising, slowFloor*seen.slow)
}
