package load

import (
	"sort"
	"time"
)

// Requests returns how many requests were sent.
func (report *Report) Requests() int { return len(report.results) }

// FirstToken returns the given percentile (0 to 100) of the time to the first
// token, over all accepted completions. One that got no token counts with its delay in
// sending.
func (report *Report) FirstToken(percent float64) time.Duration {
	return time.Duration(report.firstToken.ValueAtQuantile(percent)) * time.Microsecond
}

// WithinSLO returns how many requests met the service level objective.
func (report *Report) WithinSLO() int {
	return report.count(func(result result) bool { return result.withinSLO })
}

// Cut returns how many requests were not refused and yet got no complete response
// with the expected text.
func (report *Report) Cut() int {
	return report.count(func(result result) bool { return !result.refused && !result.complete })
}

func (report *Report) count(matches func(result) bool) int {
	count := 0
	for _, result := range report.results {
		if matches(result) {
			count++
		}
	}
	return count
}

// Codes returns the number of requests for each result code; "link" counts
// failed connections.
func (report *Report) Codes() map[string]int {
	codes := map[string]int{}
	for _, result := range report.results {
		codes[result.code]++
	}
	return codes
}

// Attainment returns the fraction of all requests that met the service level
// objective, and that fraction for the customer with the lowest one.
func (report *Report) Attainment() (all, worst float64) {
	withinSLO := make([]int, len(report.workload.Customers))
	sent := make([]int, len(report.workload.Customers))
	for _, result := range report.results {
		sent[result.customer]++
		if result.withinSLO {
			withinSLO[result.customer]++
		}
	}
	worst = 1
	total := 0
	for index := range sent {
		total += withinSLO[index]
		if sent[index] > 0 {
			worst = min(worst, float64(withinSLO[index])/float64(sent[index]))
		}
	}
	return float64(total) / float64(max(len(report.results), 1)), worst
}

// FalseNotRun returns how many non-idempotent requests were reported as not run
// although they ran. The function runs returns how often the request with an ID was
// executed.
func (report *Report) FalseNotRun(runs func(requestID string) int) int {
	return report.count(func(result result) bool {
		return result.requestID != "" && result.ran == "no" && runs(result.requestID) > 0
	})
}

// referenceBucket is an exact token bucket of one customer for all entries together.
type referenceBucket struct {
	rate, burst, level float64 // tokens per second, tokens, tokens
	at                 time.Time
}

func (referenceBucket *referenceBucket) advance(now time.Time) {
	if elapsed := now.Sub(referenceBucket.at).Seconds(); elapsed > 0 {
		referenceBucket.level = min(referenceBucket.burst, referenceBucket.level+referenceBucket.rate*elapsed)
		referenceBucket.at = now
	}
}

// RateLimitErrors compares the run with one exact token bucket for each customer.
// It returns the tokens that were used beyond rate and burst, and the fraction of
// all requests that were refused as over the rate (code 1301) although the bucket
// held their tokens. Tokens are taken at the scheduled time of the request.
func (report *Report) RateLimitErrors() (overspend, wrongfulRate float64) {
	ordered := append([]result(nil), report.results...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].scheduled.Before(ordered[j].scheduled) })
	buckets := make([]*referenceBucket, len(report.workload.Customers))
	for index, customer := range report.workload.Customers {
		buckets[index] = &referenceBucket{rate: customer.Rate, burst: customer.Burst, level: customer.Burst}
	}
	wrongful := 0
	for _, result := range ordered {
		bucket := buckets[result.customer]
		bucket.advance(result.scheduled)
		if result.code == "1301" && bucket.level >= result.reservedTokens {
			wrongful++
		}
		bucket.level -= result.usedTokens
		if bucket.level < 0 {
			overspend -= bucket.level
			bucket.level = 0
		}
	}
	return overspend, float64(wrongful) / float64(max(len(ordered), 1))
}
