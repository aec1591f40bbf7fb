package gateway

import (
	"time"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/stream"
	"endiverill.example/kernel/wire"
)

const (
	unknownRetryAfter = 100 * time.Millisecond // of a stream whose origin is not known; another entry may know it
	maxSoleListAge    = 3 * time.Second        // of a list that shows that one version serves alone
)

// takesUp reports whether the call is to go on with a stream that an earlier attempt of the
// caller began.
func (call *call) takesUp() bool {
	return call.route.Kind() == directory.Stream && (call.head.LastEvent != "" || call.head.Resumes != "")
}

// takeUp restricts a call that takes a stream up to the service and the software version that
// began it. Where targets have no versions, it does nothing.
func (call *call) takeUp() *code.Fault {
	if !call.takesUp() || !call.versioned() {
		call.awaitAdmission()
		return nil
	}
	gateway := call.gateway
	gateway.metrics.Add("streams.taken_up", 1)
	service, software, fault := call.findOrigin()
	if fault != nil {
		gateway.log.Infof("stream %q is not taken up after event %q: %s; attempt %q", call.head.ID, call.head.LastEvent, fault.Message(), call.shownResumes())
		return fault
	}
	gateway.log.Infof("stream %q is taken up after event %q of attempt %q, which service %q, software version %q began",
		call.head.ID, call.head.LastEvent, call.shownResumes(), service, software)
	call.setService(service)
	call.placement.Continues, call.placement.Software = true, software
	return nil
}

// awaitAdmission waits, if this entry has just started, until it knows at which software versions
// a stream may begin. Without an answer of the store or a planner, it may begin at any.
func (call *call) awaitAdmission() {
	gateway := call.gateway
	for call.placement.Begins && call.ctx.Err() == nil && !gateway.origins.admissionKnown() &&
		gateway.clock.Now().Sub(gateway.startedAt) < newcomerWait {
		select {
		case <-gateway.clock.After(newcomerInterval):
		case <-call.ctx.Done():
		}
	}
}

// findOrigin returns which service and software version began the stream that the call takes up.
func (call *call) findOrigin() (service, software string, fault *code.Fault) {
	gateway, services := call.gateway, call.route.Services()
	if call.head.Resumes != "" {
		origin, known := gateway.origins.origin(call.ctx, stream.NewID(call.customerName(), call.head.Resumes))
		if fault := call.endFault(code.RanNo); fault != nil {
			return "", "", fault
		}
		if known && origin == uncertainOrigin {
			gateway.metrics.Add("streams.refused.unknown", 1)
			return "", "", code.New(code.OriginUnknown, code.RanNo, "the target that began the stream may have started anew before")
		}
		if known {
			service, software, ok := gateway.origins.find(origin, services)
			if !ok {
				gateway.metrics.Add("streams.refused.version", 1)
				return "", "", code.New(code.NoVersion, code.RanNo, "the software version that began the stream no longer serves")
			}
			return service, software, nil
		}
	}
	if len(services) == 1 && max(gateway.syncer.listAge(), gateway.syncer.listGap()) <= maxSoleListAge {
		if software, sole := gateway.origins.sole(services[0], streamRetention(call.route)); sole {
			gateway.metrics.Add("streams.sole_version", 1)
			return services[0], software, nil
		}
	}
	if len(services) == 1 {
		if software, known := gateway.origins.begunAt(services[0], streamRetention(call.route)); known {
			gateway.metrics.Add("streams.version_before_start", 1)
			return services[0], software, nil
		}
	}
	gateway.metrics.Add("streams.refused.unknown", 1)
	return "", "", code.New(code.OriginUnknown, code.RanNo, "it is not known which software version began the stream, and several have served").
		WithRetryAfter(unknownRetryAfter)
}

// versioned reports whether the targets of a service of the call's route have software versions.
func (call *call) versioned() bool {
	gateway := call.gateway
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	for _, service := range call.route.Services() {
		if gateway.dispatcher.Versioned(service) {
			return true
		}
	}
	return false
}

// shownResumes returns the attempt that the caller names, cut to a length for the log.
func (call *call) shownResumes() string {
	return call.head.Resumes[:min(len(call.head.Resumes), maxShownID)]
}

const maxShownID = 64 // bytes

func (call *call) customerName() string {
	if call.customer == nil {
		return ""
	}
	return call.customer.Name()
}

// recordOrigin restricts the call, whose caller is about to get events of the attempt, to the
// software version that makes them, and has it recorded for callers that take the stream up.
// If the version is not known, it is called again with later events.
func (call *call) recordOrigin(attempt *attempt) {
	if call.originRecorded {
		return
	}
	gateway, target := call.gateway, attempt.target
	gateway.confirmList()
	call.placement.Continues = true
	announce := func() {}
	gateway.withLock(func() {
		software, known := gateway.dispatcher.Software(target.Key())
		if !known || software != target.Software() && target.Software() != "" {
			return
		}
		call.originRecorded = true
		call.placement.Software = software
		if software != "" {
			announce = gateway.origins.record(call, target, software) // with gateway.mu held, so that no replacement of the target is missed
		}
	})
	announce()
}

// recordLoss records that the connection of the attempt broke, together with all others to its
// target or alone.
func (attempt *attempt) recordLoss(err error) {
	gateway := attempt.call.gateway
	gateway.recordBroken(attempt.target.Key(), gateway.pool.Lost(attempt.target.Address(), err), false)
}

// recordClosed records that the target at an address has closed an idle connection before its
// time.
func (gateway *Gateway) recordClosed(address string) {
	all := !gateway.pool.Alive(address)
	var keys []directory.TargetKey
	gateway.withLock(func() { keys = gateway.dispatcher.TargetsAt(address) })
	for _, key := range keys {
		gateway.recordBroken(key, all, false)
	}
}

// recordBroken records that a connection to a target broke, or all of them, and reports the
// first time to other entries: at once with toAll or in a small fleet, else with the next state
// message, since such messages of all entries would fill the links of a large fleet.
func (gateway *Gateway) recordBroken(key directory.TargetKey, all, toAll bool) {
	first := false
	gateway.withLock(func() { first = gateway.dispatcher.RecordBreak(key, all, gateway.clock.Now()) })
	if !first {
		return
	}
	if all {
		gateway.metrics.Add("targets.lost", 1)
		gateway.log.Infof("connections to target %s are lost; until it is known to run, no stream goes on there", key.ID)
	}
	if toAll || gateway.peers.count() < peersPerInterval {
		gateway.peers.sendEach(gateway.peers.liveEntries(), &wire.BrokenTarget{Target: key.ID, StartedAt: key.StartedAt, All: all})
	}
}

// breakReports returns what this entry reports of targets whose connections broke. The caller
// must hold gateway.mu.
func (gateway *Gateway) breakReports(now time.Time) []wire.BrokenTarget {
	var broken []wire.BrokenTarget
	for _, report := range gateway.dispatcher.BreakReports(now) {
		broken = append(broken, wire.BrokenTarget{Target: report.Key.ID, StartedAt: report.Key.StartedAt, Age: now.Sub(report.At), All: report.All})
	}
	return broken
}

// applyBreaks records what another entry has reported of targets whose connections broke. One
// to which a connection of this entry is open, of a request or of its watch, has not ended.
func (gateway *Gateway) applyBreaks(reported []wire.BrokenTarget, now time.Time) {
	for _, broken := range reported {
		key := directory.TargetKey{ID: broken.Target, StartedAt: broken.StartedAt}
		gateway.mu.Lock()
		address := gateway.dispatcher.Address(key)
		gateway.mu.Unlock()
		at := now.Add(-broken.Age)
		all := broken.All && !gateway.pool.Alive(address) && !gateway.targetWatch.ranAt(key, at)
		gateway.mu.Lock()
		gateway.dispatcher.ApplyBreak(dispatch.Break{Key: key, At: at, All: all})
		gateway.mu.Unlock()
	}
}
