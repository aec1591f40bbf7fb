package dispatch

import (
	"time"

	"endiverill.example/kernel/directory"
)

// Software returns the version of the software that a target runs, empty if no target of its
// service has one. It is not known for a target that the list does not show.
func (dispatcher *Dispatcher) Software(key directory.TargetKey, now time.Time) (software string, known bool) {
	replica := dispatcher.replicas[key]
	switch {
	case replica == nil:
		return "", false
	case !dispatcher.versioned[replica.target.Service()]:
		return "", true
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

// runs reports whether a target is known to run a software version. Without a version, it
// reports whether no target of the service has one.
func (dispatcher *Dispatcher) runs(replica *replica, software string, now time.Time) bool {
	if software == "" {
		return !dispatcher.versioned[replica.target.Service()]
	}
	return replica.target.Software() == software
}
