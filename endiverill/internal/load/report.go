package load

import (
	"sort"
	"time"
)

// Requests returns how many requests were sent.
func (report *Report) Requests() int { return len(report.outcomes) }

// FirstToken returns a quantile, in percent, of the time to the first token.
func (report *Report) FirstToken(percent float64) time.Duration {
	return time.Duration(report.first.ValueAtQuantile(percent)) * time.Microsecond
}

// Inside returns how many requests were inside the service level.
func (report *Report) Inside() int {
	return report.count(func(outcome Outcome) bool { return outcome.inside })
}

// Cut returns how many answers began and were not whole or not their caller's.
func (report *Report) Cut() int {
	return report.count(func(outcome Outcome) bool { return !outcome.refused && !outcome.whole })
}

func (report *Report) count(wanted func(Outcome) bool) int {
	count := 0
	for _, outcome := range report.outcomes {
		if wanted(outcome) {
			count++
		}
	}
	return count
}

// Codes returns how often each result code came.
func (report *Report) Codes() map[string]int {
	codes := map[string]int{}
	for _, outcome := range report.outcomes {
		codes[outcome.code]++
	}
	return codes
}

// Attainment returns the part of all requests inside the service level, and
// that of the worst-served customer.
func (report *Report) Attainment() (all, worst float64) {
	inside := make([]int, len(report.plan.Customers))
	sent := make([]int, len(report.plan.Customers))
	for _, outcome := range report.outcomes {
		sent[outcome.customer]++
		if outcome.inside {
			inside[outcome.customer]++
		}
	}
	worst = 1
	total := 0
	for index := range sent {
		total += inside[index]
		if sent[index] > 0 {
			worst = min(worst, float64(inside[index])/float64(sent[index]))
		}
	}
	return float64(total) / float64(max(len(report.outcomes), 1)), worst
}

// FalseNotRun returns how many requests were called "not run" although runs
// counts them.
func (report *Report) FalseNotRun(runs func(id string) int) int {
	return report.count(func(outcome Outcome) bool { return outcome.id != "" && outcome.ran == "no" && runs(outcome.id) > 0 })
}

// ideal is one bucket for a customer over the whole fleet.
type ideal struct {
	rate, burst, level float64
	at                 time.Time
}

func (ideal *ideal) advance(now time.Time) {
	if passed := now.Sub(ideal.at).Seconds(); passed > 0 {
		ideal.level = min(ideal.burst, ideal.level+ideal.rate*passed)
		ideal.at = now
	}
}

// Limits holds the run against one ideal bucket for each customer. It returns
// the tokens passed beyond rate and burst, and the part of all requests that
// were refused although the bucket had their tokens. What passes is taken at the
// time of sending.
func (report *Report) Limits() (overspend, wrongful float64) {
	order := append([]Outcome(nil), report.outcomes...)
	sort.SliceStable(order, func(i, j int) bool { return order[i].sent.Before(order[j].sent) })
	buckets := make([]*ideal, len(report.plan.Customers))
	for index, customer := range report.plan.Customers {
		buckets[index] = &ideal{rate: customer.Rate, burst: customer.Burst, level: customer.Burst}
	}
	refused := 0
	for _, outcome := range order {
		bucket := buckets[outcome.customer]
		bucket.advance(outcome.sent)
		if outcome.code == "1301" && bucket.level >= outcome.reserved {
			refused++
		}
		bucket.level -= outcome.used
		if bucket.level < 0 {
			overspend -= bucket.level
			bucket.level = 0
		}
	}
	return overspend, float64(refused) / float64(max(len(order), 1))
}
