package dispatch

import (
	"slices"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/permit"
)

// RecordLimit records a response that names a limit, in requests a second. It reports
// whether that changes what this instance knows.
func (dispatcher *Dispatcher) RecordLimit(key directory.TargetKey, perSecond float64, now time.Time) (changed bool) {
	notice := dispatcher.notice(key, now)
	notice.keepUntil(now.Add(noticeTTL))
	before, limited := notice.limit.InForce()
	notice.ownLimit.Name(perSecond, now)
	notice.limit.Name(perSecond, now)
	return !limited || before != perSecond
}

// RecordNoLimit records a response that names no limit, to a request sent at the given time.
// It reports whether a limit ends by that.
func (dispatcher *Dispatcher) RecordNoLimit(key directory.TargetKey, sentAt time.Time) (ended bool) {
	notice := dispatcher.notices[key]
	if notice == nil {
		return false
	}
	if _, limited := notice.limit.InForce(); !limited {
		return false
	}
	notice.ownLimit.Clear(sentAt)
	notice.limit.Clear(sentAt)
	_, limited := notice.limit.InForce()
	return !limited
}

// Limit returns the limit of a target, in requests a second; false if it has none.
func (dispatcher *Dispatcher) Limit(key directory.TargetKey) (perSecond float64, limited bool) {
	notice := dispatcher.notices[key]
	if notice == nil {
		return 0, false
	}
	return notice.limit.InForce()
}

// RecordDenied records that there is no permit for a request to a limited target earlier.
func (dispatcher *Dispatcher) RecordDenied(key directory.TargetKey, until, now time.Time) {
	dispatcher.notice(key, now).deniedUntil = until
}

// LimitReport is what one instance has seen of a target's limit.
type LimitReport struct {
	Key   directory.TargetKey
	Limit permit.Limit
}

// LimitReports returns what the responses that this instance got have lately said of limits.
func (dispatcher *Dispatcher) LimitReports(now time.Time) []LimitReport {
	var reports []LimitReport
	for key, notice := range dispatcher.notices {
		if now.Sub(notice.ownLimit.ChangedAt()) < limitReportedFor {
			reports = append(reports, LimitReport{Key: key, Limit: notice.ownLimit})
		}
	}
	slices.SortFunc(reports, func(left, right LimitReport) int {
		return right.Limit.ChangedAt().Compare(left.Limit.ChangedAt())
	})
	return reports[:min(len(reports), maxReportedLimits)]
}

// ApplyLimitReport records what another instance has seen.
func (dispatcher *Dispatcher) ApplyLimitReport(report LimitReport, now time.Time) {
	notice := dispatcher.notice(report.Key, now)
	notice.keepUntil(now.Add(noticeTTL))
	notice.limit.Merge(report.Limit)
}

// deniedFor returns how long no permit is free for the target, 0 if it may be sent requests.
func (replica *replica) deniedFor(now time.Time) time.Duration {
	if replica.notice == nil {
		return 0
	}
	if _, limited := replica.notice.limit.InForce(); !limited {
		return 0
	}
	return max(replica.notice.deniedUntil.Sub(now), 0)
}

// limitConfirmed reports whether the target has named a limit lately.
func (replica *replica) limitConfirmed(now time.Time) bool {
	return replica.notice != nil && replica.notice.limit.Confirmed(now)
}
