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

// ClockSkew is the largest difference that is expected between this instance's time of day and
// that of a target.
const ClockSkew = 25 * time.Millisecond

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

// SetAdmission sets the function that reports at which software versions of a service streams
// may begin that their callers can take up. It is called again to have it evaluated anew.
func (dispatcher *Dispatcher) SetAdmission(admits func(service, software string) bool) {
	dispatcher.admits = admits
	clear(dispatcher.unadmitted)
	for _, replicas := range dispatcher.services {
		for _, replica := range replicas {
			dispatcher.admit(replica)
		}
	}
}

// admit evaluates whether streams may begin at the software version of a listed target.
func (dispatcher *Dispatcher) admit(replica *replica) {
	target := replica.target
	replica.admitted = dispatcher.admits == nil || target.Software() == "" || dispatcher.admits(target.Service(), target.Software())
	if !replica.admitted {
		dispatcher.unadmitted[target.Service()] = true
	}
}

// admittedOnly reports whether the request must begin at a target whose software version is
// admitted. Where no such target takes work, it may begin at any.
func (dispatcher *Dispatcher) admittedOnly(request *Request) bool {
	return request.Begins && !request.Continues && dispatcher.unadmitted[request.Service] &&
		slices.ContainsFunc(dispatcher.services[request.Service], func(replica *replica) bool {
			return replica.admitted && !replica.leaving()
		})
}

// RecordBreak records that a connection to a target broke. The target may have started anew at
// its address, with another software version, before the list shows it; if all connections to
// it are lost, this is taken for certain. RecordBreak reports whether it is the first break
// lately, or the first such loss.
func (dispatcher *Dispatcher) RecordBreak(key directory.TargetKey, all bool, now time.Time) (first bool) {
	replica := dispatcher.replicas[key]
	if replica == nil {
		return false
	}
	first = !dispatcher.broken(replica) || all && !dispatcher.lost(replica)
	replica.brokeAt, replica.ownBreak = now, true
	if all {
		replica.lostAt = now
	}
	dispatcher.recordForSuccessors(key, replica.brokeAt, replica.lostAt)
	return first
}

// inheritBreaks records for targets that the list has not shown before the breaks of earlier
// incarnations under their IDs.
func (dispatcher *Dispatcher) inheritBreaks() {
	for key, replica := range dispatcher.replicas {
		if dispatcher.broken(replica) {
			dispatcher.recordForSuccessors(key, replica.brokeAt, replica.lostAt)
		}
	}
}

// recordForSuccessors records the breaks of a target for later incarnations under its ID that had
// started before them: the list is late, and it may be these that have ended since.
func (dispatcher *Dispatcher) recordForSuccessors(key directory.TargetKey, brokeAt, lostAt time.Time) {
	for other, replica := range dispatcher.replicas {
		if other.ID != key.ID || other.StartedAt <= key.StartedAt {
			continue
		}
		if replica.startedBefore(brokeAt) && brokeAt.After(replica.brokeAt) {
			replica.brokeAt, replica.ownBreak = brokeAt, false
		}
		if replica.startedBefore(lostAt) && lostAt.After(replica.lostAt) {
			replica.lostAt = lostAt
		}
	}
}

// TargetsAt returns the targets at an address that are listed.
func (dispatcher *Dispatcher) TargetsAt(address string) []directory.TargetKey {
	var keys []directory.TargetKey
	for key, replica := range dispatcher.replicas {
		if !replica.unlisted && replica.target.Address() == address {
			keys = append(keys, key)
		}
	}
	return keys
}

// Address returns the address of a target, empty if it is not known.
func (dispatcher *Dispatcher) Address(key directory.TargetKey) string {
	if replica := dispatcher.replicas[key]; replica != nil {
		return replica.target.Address()
	}
	return ""
}

// Break is when a connection to a target broke, or all of them.
type Break struct {
	Key directory.TargetKey
	At  time.Time
	All bool
}

// BreakReports returns the breaks that this instance has lately seen itself.
func (dispatcher *Dispatcher) BreakReports(now time.Time) []Break {
	var breaks []Break
	for key, replica := range dispatcher.replicas {
		if replica.ownBreak && now.Sub(replica.brokeAt) < breakReportedFor && len(breaks) < maxReportedBreaks {
			breaks = append(breaks, Break{Key: key, At: replica.brokeAt, All: replica.lostAt.Equal(replica.brokeAt)})
		}
	}
	return breaks
}

// ApplyBreak records a break that another instance has seen.
func (dispatcher *Dispatcher) ApplyBreak(reported Break) {
	lostAt := time.Time{}
	if reported.All {
		lostAt = reported.At
	}
	dispatcher.recordForSuccessors(reported.Key, reported.At, lostAt)
	replica := dispatcher.replicas[reported.Key]
	if replica == nil {
		return
	}
	if reported.At.After(replica.brokeAt) {
		replica.brokeAt, replica.ownBreak = reported.At, false
	}
	if lostAt.After(replica.lostAt) {
		replica.lostAt = lostAt
	}
}

// versionServes reports whether a target that takes work runs the software version that the
// request needs, whatever models it holds.
func (dispatcher *Dispatcher) versionServes(request *Request) bool {
	return slices.ContainsFunc(dispatcher.services[request.Service], func(replica *replica) bool {
		return !replica.leaving() && dispatcher.runs(replica, request.Software)
	})
}

// decideNoVersion decides on a stream whose software version no target runs that takes work.
// One that is only not known to have gone on may be shown to soon, by its agent's report.
func (dispatcher *Dispatcher) decideNoVersion(request *Request) Decision {
	refuse := Refuse{Reason: NoVersion}
	for _, replica := range dispatcher.services[request.Service] {
		switch {
		case replica.leaving() || replica.target.Software() != request.Software:
		case replica.reported:
			return Hold{Reason: NoVersion, Until: request.StartBy}
		default:
			refuse.RetryAfter = defaultRetryAfter
		}
	}
	return refuse
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
