package gateway

// recordOrigin restricts the call, whose caller is about to get events of the attempt, to the
// software version that makes them. If the version is not known, it is called again with later
// events.
func (call *call) recordOrigin(attempt *attempt) {
	if call.originRecorded {
		return
	}
	gateway, target := call.gateway, attempt.target
	now := gateway.clock.Now()
	gateway.mu.Lock()
	software, known := gateway.dispatcher.Software(target.Key(), now)
	gateway.mu.Unlock()
	known = known && software == target.Software()
	call.placement.Continues = true
	if !known {
		return
	}
	call.originRecorded = true
	call.placement.Software = software
}
