package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/stream"
	"endiverill.example/kernel/wire"
)

const (
	maxOriginRecords  = 32768                  // some 2.4 MB
	originKeepers     = 2                      // other entries that are sent a record
	originsAsked      = 6                      // entries that are asked for a record; more than originKeepers, as entries may know different other ones
	originAskTimeout  = 150 * time.Millisecond // for their answers; a caller that takes a stream up waits for them
	originAskInterval = 40 * time.Millisecond  // until a question without an answer is repeated
	takeUpMargin      = 30 * time.Second       // after the route's timeout, within which callers take up a stream
	maxOwnRecords     = 4096
	newcomerWait      = time.Second            // after its start, an entry waits for others and the store to make an origin known
	newcomerInterval  = 100 * time.Millisecond // between two questions meanwhile
	maxStarted        = 64                     // entries that have started and wait for records
	recordsPerMessage = 40                     // keeps a datagram within one packet
)

// origins is what this entry knows of the software versions that began streams and that
// have served each service.
type origins struct {
	gateway   *Gateway
	mu        sync.Mutex // guards the fields below
	table     *stream.Origins
	versions  *stream.Versions
	admission *stream.Admission
	recalled  bool        // versions holds what the store has, also after the last gap
	own       []ownRecord // of streams that began here, oldest first, at most maxOwnRecords
	begun     uint64      // streams that began here

	started    chan netip.AddrPort // entries that have started, to be sent records
	beginnings beginnings
	listed     map[string]*directory.Target // the last list, by ID
}

func newOrigins(gateway *Gateway) *origins {
	return &origins{
		gateway: gateway, table: stream.NewOrigins(maxOriginRecords), versions: stream.NewVersions(gateway.clock.Now()),
		admission: stream.NewAdmission(gateway.clock.Now()),
		started:   make(chan netip.AddrPort, maxStarted), beginnings: newBeginnings(),
	}
}

// streamRetention returns how long after its beginning a stream of the route may be taken up.
func streamRetention(route *directory.Route) time.Duration {
	if route.Timeout() > 0 {
		return route.Timeout() + takeUpMargin
	}
	return defaultTimeout + takeUpMargin
}

// observe records which software versions the list of targets shows, and which targets have
// started anew under their IDs.
func (origins *origins) observe(listed []*directory.Target, now time.Time) {
	serving := map[string][]string{}
	for _, target := range listed {
		serving[target.Service()] = append(serving[target.Service()], target.Software())
	}
	origins.mu.Lock()
	origins.versions.Observe(serving, now)
	before := origins.listed
	origins.listed = make(map[string]*directory.Target, len(listed))
	for _, target := range listed {
		origins.listed[target.ID()] = target
	}
	origins.mu.Unlock()
	for _, target := range listed {
		// A list that came back from an older copy may show an earlier start.
		if old := before[target.ID()]; old != nil && target.StartedAt() > old.StartedAt() && old.Software() != target.Software() {
			origins.replaced(old.Key(), target.Service(), target.StartedAt())
		}
	}
}

// sole returns the software version that alone has served a service for the time within.
func (origins *origins) sole(service string, within time.Duration) (software string, ok bool) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	if !origins.recalled {
		return "", false
	}
	return origins.versions.Sole(service, within, origins.gateway.clock.Now())
}

// find returns the service, of those named, and its software version that an origin stands for.
func (origins *origins) find(origin stream.Origin, services []string) (service, software string, ok bool) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	recorded := origins.versions.Recorded(origins.gateway.clock.Now())
	for _, service := range services {
		for _, software := range recorded[service] {
			if stream.NewOrigin(service, software) == origin {
				return service, software, true
			}
		}
	}
	return "", "", false
}

// record keeps the origin of a call's stream that begins at the target. The caller then calls
// announce, which sends it to its keepers.
func (origins *origins) record(call *call, target *directory.Target, software string) (announce func()) {
	gateway := origins.gateway
	now := gateway.clock.Now()
	id, origin, retention := stream.NewID(call.customerName(), call.head.ID), stream.NewOrigin(target.Service(), software), streamRetention(call.route)
	origins.mu.Lock()
	added := origins.table.Record(id, origin, retention, now)
	origins.beginnings.add(target.Key(), beginning{id: id, call: call, at: now})
	origins.begun++
	origins.own = append(origins.own, ownRecord{id: id, origin: origin, expires: now.Add(retention)})
	origins.own = origins.own[max(len(origins.own)-maxOwnRecords, 0):]
	origins.mu.Unlock()
	if !added {
		return func() {}
	}
	return func() {
		gateway.metrics.Add("origins.recorded", 1)
		message := &wire.StreamOrigins{Records: []wire.StreamOrigin{{Stream: uint64(id), Origin: uint64(origin), Retention: retention}}}
		keepers := stream.Keepers(id, gateway.peers.liveEntries(), originKeepers)
		gateway.peers.sendEach(keepers, message)
	}
}

// receive keeps records of another entry.
func (origins *origins) receive(message *wire.StreamOrigins) {
	gateway := origins.gateway
	now := gateway.clock.Now()
	origins.mu.Lock()
	defer origins.mu.Unlock()
	for _, record := range message.Records {
		if record.Origin != 0 && origins.table.Record(stream.ID(record.Stream), stream.Origin(record.Origin), record.Retention, now) {
			gateway.metrics.Add("origins.received", 1)
		}
	}
	gateway.metrics.SetGauge("origins.dropped", int64(origins.table.Dropped()))
}

// lookup returns the origin in this entry's records, uncertainOrigin if they contradict each
// other.
func (origins *origins) lookup(id stream.ID) (origin stream.Origin, known bool) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	now := origins.gateway.clock.Now()
	if origins.table.Contradictory(id, now) {
		return uncertainOrigin, true
	}
	return origins.table.Lookup(id, now)
}

// answer answers another entry's question for an origin.
func (origins *origins) answer(from netip.AddrPort, request *wire.OriginRequest) {
	origin, known := origins.lookup(stream.ID(request.Stream))
	origins.gateway.peers.sendEach([]netip.AddrPort{from}, &wire.CommandResult{ID: request.ID, Done: known, Origin: uint64(origin)})
}

// origin returns the origin of a stream, from this entry's records or those of other
// entries. An entry that has just started knows few other ones and may not
// have read the store yet, so it waits for a while.
func (origins *origins) origin(ctx context.Context, id stream.ID) (origin stream.Origin, known bool) {
	gateway := origins.gateway
	for {
		if origin, known = origins.lookup(id); known {
			return origin, true
		}
		if origin, known = origins.ask(ctx, id); known || gateway.clock.Now().Sub(gateway.startedAt) >= newcomerWait {
			return origin, known
		}
		select {
		case <-gateway.clock.After(newcomerInterval):
		case <-ctx.Done():
			return 0, false
		}
	}
}

// ask asks other entries for the origin of a stream.
func (origins *origins) ask(ctx context.Context, id stream.ID) (origin stream.Origin, known bool) {
	gateway := origins.gateway
	asked := stream.Keepers(id, gateway.peers.liveEntries(), originsAsked)
	gateway.metrics.Add("origins.asked", 1)
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	results := make(chan *wire.CommandResult, len(asked))
	for _, address := range asked {
		go func() {
			request := &wire.OriginRequest{ID: gateway.peers.nextCommand(), Stream: uint64(id)}
			results <- gateway.peers.request(ctx, address, originAskInterval, request.ID, request)
		}()
	}
	for range asked {
		if result := <-results; result.Done && result.Origin != 0 {
			gateway.metrics.Add("origins.found", 1)
			return stream.Origin(result.Origin), true
		}
	}
	return 0, false
}

// handOver sends the records of this entry, which stops, to other entries.
func (origins *origins) handOver() {
	origins.send(func(id stream.ID, entries []netip.AddrPort) []netip.AddrPort {
		return stream.Keepers(id, entries, originKeepers)
	})
}

// run sends entries that start the records that they should keep.
func (origins *origins) run(ctx context.Context) error {
	for {
		select {
		case started := <-origins.started:
			origins.sendTo(started)
		case <-ctx.Done():
			return nil
		}
	}
}

// entryStarted has the records sent that the entry should keep.
func (origins *origins) entryStarted(address netip.AddrPort) {
	select {
	case origins.started <- address:
	default:
		origins.gateway.metrics.Add("origins.unsent", 1)
		origins.gateway.log.Infof("entry %s has started and gets no records of streams, as too many others have", address)
	}
}

// sendTo sends an entry that has just started the records that it should keep.
func (origins *origins) sendTo(started netip.AddrPort) {
	origins.send(func(id stream.ID, entries []netip.AddrPort) []netip.AddrPort {
		for _, keeper := range stream.Keepers(id, entries, originKeepers) {
			if keeper == started {
				return []netip.AddrPort{started}
			}
		}
		return nil
	})
}

// send sends each record to the entries that choose returns for it.
func (origins *origins) send(choose func(id stream.ID, entries []netip.AddrPort) []netip.AddrPort) {
	gateway := origins.gateway
	entries := gateway.peers.liveEntries()
	origins.mu.Lock()
	records := origins.table.Records(gateway.clock.Now())
	for _, record := range origins.table.Contradictions(gateway.clock.Now()) {
		records = append(records, stream.NewRecord(record.ID(), uncertainOrigin, record.Retention()))
	}
	origins.mu.Unlock()
	messages := map[netip.AddrPort]*wire.StreamOrigins{}
	for _, record := range records {
		for _, keeper := range choose(record.ID(), entries) {
			if messages[keeper] == nil {
				messages[keeper] = &wire.StreamOrigins{}
			}
			message := messages[keeper]
			message.Records = append(message.Records, wire.StreamOrigin{Stream: uint64(record.ID()), Origin: uint64(record.Origin()), Retention: record.Retention()})
			if len(message.Records) == recordsPerMessage {
				gateway.peers.sendEach([]netip.AddrPort{keeper}, message)
				delete(messages, keeper)
			}
		}
	}
	for keeper, message := range messages {
		gateway.peers.sendEach([]netip.AddrPort{keeper}, message)
	}
}

// liveEntries returns the other entries that have lately sent a message, or all that this one
// knows if none has.
func (peers *peers) liveEntries() []netip.AddrPort {
	maxAge := max(memberMaxAge, 3*peers.period())
	now := peers.gateway.clock.Now()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	live, known := []netip.AddrPort{}, []netip.AddrPort{}
	for address := range peers.entries {
		known = append(known, address)
		if last, ok := peers.peerStates[address]; ok && peers.gateway.silence(last.at, now) <= maxAge {
			live = append(live, address)
		}
	}
	if len(live) == 0 {
		return known
	}
	return live
}

// sendEach sends a message to each of the addresses.
func (peers *peers) sendEach(addresses []netip.AddrPort, message wire.Message) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.socket == nil {
		return
	}
	peers.sendAll(addresses, message)
}
