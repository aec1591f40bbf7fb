package dispatch

import (
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	restartUnlisted   = 3 * time.Second        // after which a list that is the newest shows a target that has started anew: two of its heartbeats and the time that a write takes
	confirmDelay      = 200 * time.Millisecond // after a break, a report of the same incarnation shows that it still runs
	breakReportedFor  = time.Second            // to other instances
	maxReportedBreaks = 16                     // in one message
	breakPenalty      = 3 * time.Second        // ranks targets whose connections broke lately behind others, for streams that go on
)

// Software returns the version of the software that a target runs, empty if no target of its
// service has one. It is not known for a target that may have started anew, nor for one that
// the list does not show.
func (dispatcher *Dispatcher) Software(key directory.TargetKey) (software string, known bool) {
	replica := dispatcher.replicas[key]
	switch {
	case replica == nil:
		return "", false
	case !dispatcher.versioned[replica.target.Service()]:
		return "", true
	case dispatcher.lost(replica):
		return "", false
	}
	software = replica.target.Software()
	return software, software != ""
}

// Suits reports whether the target is still known to run the software version that the
// request needs.
func (dispatcher *Dispatcher) Suits(key directory.TargetKey, request *Request) bool {
	replica := dispatcher.replicas[key]
	return !request.Continues || replica != nil && dispatcher.runs(replica, request.Software)
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
	first = !dispatcher.broken(replica)
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
func (dispatcher *Dispatcher) versionServes(request *Request) bool {
	return slices.ContainsFunc(dispatcher.services[request.Service], func(replica *replica) bool {
		return !replica.leaving() && dispatcher.runs(replica, request.Software)
	})
}

// refuseVersion refuses a stream whose software version no target runs that takes work. The
// caller may return if one is listed that is only not known to have gone on.
func (dispatcher *Dispatcher) refuseVersion(request *Request) Refuse {
	for _, replica := range dispatcher.services[request.Service] {
		if !replica.leaving() && replica.target.Software() == request.Software {
			return Refuse{Reason: NoVersion, RetryAfter: defaultRetryAfter}
		}
	}
	return Refuse{Reason: NoVersion}
}

// runs reports whether a target is known to run a software version. Without a version, it
// reports whether no target of the service has one.
func (dispatcher *Dispatcher) runs(replica *replica, software string) bool {
	if software == "" {
		return !dispatcher.versioned[replica.target.Service()]
	}
	return replica.target.Software() == software && !dispatcher.lost(replica)
}

// lost reports whether all connections to the target were lost lately, and it is not known to
// have gone on.
func (dispatcher *Dispatcher) lost(replica *replica) bool {
	return dispatcher.unconfirmed(replica, replica.lostAt)
}

// broken reports whether a connection to the target broke lately, and it is not known to have
// gone on.
func (dispatcher *Dispatcher) broken(replica *replica) bool {
	return dispatcher.unconfirmed(replica, replica.brokeAt)
}

// unconfirmed reports whether neither the list nor a report of the same incarnation shows that
// the target, whose connections broke at the given time, has gone on.
func (dispatcher *Dispatcher) unconfirmed(replica *replica, brokeAt time.Time) bool {
	if brokeAt.IsZero() || dispatcher.listAt.Sub(brokeAt) > restartUnlisted {
		return false
	}
	return !replica.reported || replica.report.At.Sub(brokeAt) < confirmDelay
}

// ConfirmList records that the list of targets was the newest one at the given time.
func (dispatcher *Dispatcher) ConfirmList(at time.Time) {
	if at.After(dispatcher.listAt) {
		dispatcher.listAt = at
	}
}
