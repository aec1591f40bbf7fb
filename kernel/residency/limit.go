package residency

// requestSmoothing is the weight of the newest request in the mean size of requests.
const requestSmoothing = 0.02

// RecordRequestSize records the tokens of one request.
func (planner *Planner) RecordRequestSize(tokens float64) {
	if planner.meanSize == 0 {
		planner.meanSize = tokens
	}
	planner.meanSize += requestSmoothing * (tokens - planner.meanSize)
}

// overLimit reports for each target whether its share of the work of a service, in tokens per
// second, is more than its limit lets it take. If that holds for all, it is false for all.
func (planner *Planner) overLimit(targets []Target, service string, work float64) []bool {
	over, usable, remaining := make([]bool, len(targets)), 0, 0
	for _, target := range targets {
		if target.Service == service && !target.Unusable {
			usable++
		}
	}
	for index, target := range targets {
		if target.Service != service || target.Unusable {
			continue
		}
		over[index] = target.Limited && target.MaxRequests*planner.meanSize < work/float64(usable)
		if !over[index] {
			remaining++
		}
	}
	if remaining == 0 {
		clear(over)
	}
	return over
}
