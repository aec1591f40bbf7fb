// Package burn tells how fast customers and models use up the error budget of
// their service level. It does no I/O.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// The windows over which burn is told.
const (
	FastWindow = 5 * time.Minute
	SlowWindow = time.Hour
)

const (
	slotTime  = 10 * time.Second
	slotCount = int(SlowWindow/slotTime) + 1
)

// Key names whose service level a row is about.
type Key struct {
	Customer string
	Model    string
}

// Meter counts requests inside and outside the service level. It is not safe
// for use by several goroutines.
type Meter struct {
	series map[Key]*series
}

type series struct {
	slots  [slotCount]slot
	causes map[string]int
}

type slot struct {
	number int64
	total  int
	bad    int
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter { return &Meter{series: map[Key]*series{}} }

// Record counts one request. Cause names why it missed the service level, and
// is empty when it did not.
func (meter *Meter) Record(key Key, cause string, now time.Time) {
	found := meter.series[key]
	if found == nil {
		found = &series{causes: map[string]int{}}
		meter.series[key] = found
	}
	number := now.UnixNano() / int64(slotTime)
	current := &found.slots[number%int64(slotCount)]
	if current.number != number {
		*current = slot{number: number}
	}
	current.total++
	if cause != "" {
		current.bad++
		found.causes[cause]++
	}
}

// Row is what a meter, or several merged, tells of a key.
type Row struct {
	Key       Key
	FastTotal int
	FastBad   int
	SlowTotal int
	SlowBad   int
	Causes    map[string]int
}

// Rows returns the rows of the meter at now.
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

func (series *series) sum(now time.Time, window time.Duration) (total, bad int) {
	newest := now.UnixNano() / int64(slotTime)
	oldest := newest - int64(window/slotTime)
	for _, slot := range series.slots {
		if slot.number > oldest && slot.number <= newest {
			total += slot.total
			bad += slot.bad
		}
	}
	return total, bad
}

// Merge adds the rows of several instances up and puts the worst first.
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
		if order := cmp.Compare(right.Fast(objective), left.Fast(objective)); order != 0 {
			return order
		}
		if order := cmp.Compare(left.Key.Customer, right.Key.Customer); order != 0 {
			return order
		}
		return cmp.Compare(left.Key.Model, right.Key.Model)
	})
	return rows
}

// rate returns how many times faster than sustainable the budget is used.
func rate(bad, total int, objective float64) float64 {
	if total == 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - objective)
}

// Fast returns the burn rate over the fast window; 1 uses the budget up just in
// time.
func (row Row) Fast(objective float64) float64 { return rate(row.FastBad, row.FastTotal, objective) }

// Slow returns the burn rate over the slow window.
func (row Row) Slow(objective float64) float64 { return rate(row.SlowBad, row.SlowTotal, objective) }

// BudgetLeft returns the part of the slow window's budget that is left, below 0
// when it is overdrawn.
func (row Row) BudgetLeft(objective float64) float64 { return 1 - row.Slow(objective) }

// Cause returns the most frequent cause, empty when there is none.
func (row Row) Cause() string {
	worst, most := "", 0
	for cause, count := range row.Causes {
		if count > most || count == most && cause < worst {
			worst, most = cause, count
		}
	}
	return worst
}
