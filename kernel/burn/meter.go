// Package burn computes error-budget burn rates of the service level objective, per
// customer and model, from the requests that each entry counts. It does no I/O;
// the entry decides which requests missed the objective.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// The windows over which burn rates are computed.
const (
	FastWindow = 5 * time.Minute
	SlowWindow = time.Hour
)

const (
	slotWidth = 10 * time.Second
	slotCount = int(SlowWindow/slotWidth) + 1
)

// Key identifies the customer and the model whose requests are counted together.
type Key struct {
	Customer string
	Model    string
}

// Meter counts the requests that met and that missed the service level objective. It
// is not safe for concurrent use.
type Meter struct {
	series map[Key]*series
}

// series holds the counts of one key in a ring of slots, and the misses by cause since
// the start.
type series struct {
	slots  [slotCount]slot
	causes map[string]int
}

type slot struct {
	number int64 // Unix time in units of slotWidth
	total  int   // requests
	bad    int   // requests that missed the objective
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{series: map[Key]*series{}} }

// Record counts one request that ended at now. Cause says why the request missed the
// objective; it is empty for a request that met it.
func (meter *Meter) Record(key Key, cause string, now time.Time) {
	counts := meter.series[key]
	if counts == nil {
		counts = &series{causes: map[string]int{}}
		meter.series[key] = counts
	}
	number := now.UnixNano() / int64(slotWidth)
	current := &counts.slots[number%int64(slotCount)]
	if current.number != number {
		*current = slot{number: number}
	}
	current.total++
	if cause != "" {
		current.bad++
		counts.causes[cause]++
	}
}

// Row contains the counts of one key, of one meter or merged over several. The Fast
// fields count the requests in FastWindow, the Slow fields those in SlowWindow. The Bad
// fields count the requests that missed the objective; Causes counts them by cause
// since the start of the meter.
type Row struct {
	Key       Key
	FastTotal int
	FastBad   int
	SlowTotal int
	SlowBad   int
	Causes    map[string]int
}

// Rows returns one row for each key, with windows that end at now, in no particular
// order.
func (meter *Meter) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(meter.series))
	for key, series := range meter.series {
		row := Row{Key: key, Causes: map[string]int{}}
		row.FastTotal, row.FastBad = series.sum(now, FastWindow)
		row.SlowTotal, row.SlowBad = series.sum(now, SlowWindow)
		for cause, count := range series.causes {
			row.Causes[cause] = count
		}
		rows = append(rows, row)
	}
	return rows
}

// sum adds up the slots of the window that ends at now.
func (series *series) sum(now time.Time, window time.Duration) (total, bad int) {
	newest := now.UnixNano() / int64(slotWidth)
	oldest := newest - int64(window/slotWidth)
	for _, slot := range series.slots {
		if slot.number > oldest && slot.number <= newest {
			total += slot.total
			bad += slot.bad
		}
	}
	return total, bad
}

// Merge adds up the rows of several instances by key and sorts them by fast burn rate,
// highest first. Objective is the required share of requests that meet the service
// level, such as 0.95.
func Merge(objective float64, all ...[]Row) []Row {
	merged := map[Key]Row{}
	for _, rows := range all {
		for _, row := range rows {
			sum, found := merged[row.Key]
			if !found {
				sum = Row{Key: row.Key, Causes: map[string]int{}}
			}
			sum.FastTotal += row.FastTotal
			sum.FastBad += row.FastBad
			sum.SlowTotal += row.SlowTotal
			sum.SlowBad += row.SlowBad
			for cause, count := range row.Causes {
				sum.Causes[cause] += count
			}
			merged[row.Key] = sum
		}
	}
	rows := make([]Row, 0, len(merged))
	for _, row := range merged {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(left, right Row) int {
		if order := cmp.Compare(right.FastRate(objective), left.FastRate(objective)); order != 0 {
			return order
		}
		if order := cmp.Compare(left.Key.Customer, right.Key.Customer); order != 0 {
			return order
		}
		return cmp.Compare(left.Key.Model, right.Key.Model)
	})
	return rows
}

// rate returns the burn rate: the share of bad requests divided by the share that the
// objective allows. It is 0 when there are no requests or the objective allows no bad ones.
func rate(bad, total int, objective float64) float64 {
	if total == 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - objective)
}

// FastRate returns the burn rate over FastWindow. At 1 the error budget is used up exactly
// at the end of its period.
func (row Row) FastRate(objective float64) float64 {
	return rate(row.FastBad, row.FastTotal, objective)
}

// SlowRate returns the burn rate over SlowWindow.
func (row Row) SlowRate(objective float64) float64 {
	return rate(row.SlowBad, row.SlowTotal, objective)
}

// BudgetLeft returns the remaining share of the error budget of SlowWindow, negative
// when it is exceeded.
func (row Row) BudgetLeft(objective float64) float64 { return 1 - row.SlowRate(objective) }

// Cause returns the most frequent cause of misses, or the empty string without one. Of
// equally frequent causes it returns the alphabetically first.
func (row Row) Cause() string {
	frequent, highest := "", 0
	for cause, count := range row.Causes {
		if count > highest || count == highest && cause < frequent {
			frequent, highest = cause, count
		}
	}
	return frequent
}
