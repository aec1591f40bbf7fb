package placement

import (
	"math"
	"time"
)

const (
	fastTimeConstant = 5 * time.Second
	slowTimeConstant = time.Minute
	trendGain        = 1.0 // expected rise of the demand while a model loads, as a fraction of the lead of the fast average over the slow one
	minSlowFraction  = 0.5 // lower bound of the forecast, as a fraction of the slow average
)

// Forecast predicts the demand for each model from two exponential moving averages.
type Forecast struct {
	models map[string]*movingAverages
}

// movingAverages are the averages of the demand for one model, in request slots.
type movingAverages struct {
	fast      float64
	slow      float64
	updatedAt time.Time
}

// NewForecast returns a forecast without observations.
func NewForecast() *Forecast { return &Forecast{models: map[string]*movingAverages{}} }

// Observe records the demand for a model at now, in request slots.
func (forecast *Forecast) Observe(model string, demand float64, now time.Time) {
	averages := forecast.models[model]
	if averages == nil {
		forecast.models[model] = &movingAverages{fast: demand, slow: demand, updatedAt: now}
		return
	}
	elapsed := now.Sub(averages.updatedAt)
	averages.updatedAt = now
	averages.fast += (demand - averages.fast) * weight(elapsed, fastTimeConstant)
	averages.slow += (demand - averages.slow) * weight(elapsed, slowTimeConstant)
}

// weight returns the weight of a new observation in a moving average.
func weight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// Demand returns the demand to plan for, in request slots: the fast average plus the
// expected rise, but at least minSlowFraction of the slow average. It returns 0 for a
// model that was never observed.
func (forecast *Forecast) Demand(model string) float64 {
	averages := forecast.models[model]
	if averages == nil {
		return 0
	}
	rising := averages.fast + trendGain*max(averages.fast-averages.slow, 0)
	return max(rising, minSlowFraction*averages.slow)
}
