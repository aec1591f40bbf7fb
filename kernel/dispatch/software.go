package dispatch

import (
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	restartUnlisted   = 3 * time.Second        // within which the list shows a target that has started anew: two of its heartbeats and the time that a list takes
	confirmDelay      = 200 * time.Millisecond // after a break, a report of the same incarnation shows that it still runs
	breakReportedFor  = time.Second            // to other instances
	maxReportedBreaks = 16                     // in one message
	breakPenalty      = 3 * time.Second        // ranks targets whose connections broke lately behind others, for streams that go on
)

// Software returns the version of the software that a target runs, empty if no target of its
// service has one. It is not known for a target that may have started anew, nor for one that
// the list does not show.
func (dispatcher *Dispatcher) Software(key directory.TargetKey, now time.Time) (software string, known bool) {
	replica := dispatcher.replicas[key]
	switch {
	case replica == nil:
		return "", false
	case !dispatcher.versioned[replica.target.Service()]:
		return "", true
	case replica.lost(now):
		return "", false
	}
	software = replica.target.Software()
	return software, software != ""
}

// Suits reports whether the target is still known to run the software version that the
// request needs.
func (dispatcher *Dispatcher) Suits(key directory.TargetKey, request *Request, now time.Time) bool {
	replica := dispatcher.replicas[key]
	return !request.Continues || replica != nil && dispatcher.runs(replica, request.Software, now)
}

// Versioned reports whether a listed target of the service has a software version.
func (dispatcher *Dispatcher) Versioned(service string) bool { return dispatcher.versioned[service] }

// RecordBreak records that a connection to a target broke. The target may have started anew at
// its address, with another software version, before the list shows it; if all connections to
// it are lost, this is taken for certain. RecordBreak reports whether it is the first break
// lately.
func (dispatcher *Dispatcher) RecordBreak(key directory.TargetKey, all bool, now time.Time) (first bool) {
	replica := dispatcher.replicas[key]
	if replica == nil {
		return false
	}
	first = !replica.broken(now)
	replica.brokeAt, replica.ownBreak = now, true
	if all {
		replica.lostAt = now
	}
	return first
}

// Break is when a connection to a target broke.
type Break struct {
	Key directory.TargetKey
	At  time.Time
}

// BreakReports returns the breaks that this instance has lately seen itself.
func (dispatcher *Dispatcher) BreakReports(now time.Time) []Break {
	var breaks []Break
	for key, replica := range dispatcher.replicas {
		if replica.ownBreak && now.Sub(replica.brokeAt) < breakReportedFor && len(breaks) < maxReportedBreaks {
			breaks = append(breaks, Break{Key: key, At: replica.brokeAt})
		}
	}
	return breaks
}

// ApplyBreak records a break that another instance has seen.
func (dispatcher *Dispatcher) ApplyBreak(reported Break) {
	if replica := dispatcher.replicas[reported.Key]; replica != nil && reported.At.After(replica.brokeAt) {
		replica.brokeAt, replica.ownBreak = reported.At, false
	}
}

// versionServes reports whether a target that takes work runs the software version that the
// request needs, whatever models it holds.
func (dispatcher *Dispatcher) versionServes(request *Request, now time.Time) bool {
	return slices.ContainsFunc(dispatcher.services[request.Service], func(replica *replica) bool {
		return !replica.leaving() && dispatcher.runs(replica, request.Software, now)
	})
}

// runs reports whether a target is known to run a software version. Without a version, it
// reports whether no target of the service has one.
func (dispatcher *Dispatcher) runs(replica *replica, software string, now time.Time) bool {
	if software == "" {
		return !dispatcher.versioned[replica.target.Service()]
	}
	return replica.target.Software() == software && !replica.lost(now)
}

// lost reports whether all connections to the target were lost lately, and it is not known to
// have gone on.
func (replica *replica) lost(now time.Time) bool { return replica.unconfirmed(replica.lostAt, now) }

// broken reports whether a connection to the target broke lately, and it is not known to have
// gone on.
func (replica *replica) broken(now time.Time) bool { return replica.unconfirmed(replica.brokeAt, now) }

func (replica *replica) unconfirmed(since, now time.Time) bool {
	if since.IsZero() || now.Sub(since) > restartUnlisted {
		return false
	}
	return !replica.reported || replica.report.At.Sub(since) < confirmDelay
}
