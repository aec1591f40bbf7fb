package gateway

import (
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/stream"
	"endiverill.example/kernel/wire"
)

const (
	beginningTTL = 10 * time.Second      // within which the list shows a target that has started anew under its ID
	maxClockStep = 50 * time.Millisecond // of this entry's time of day since its start; after a larger one, times of other machines are not compared with it
)

// beginnings holds which streams began lately at each target. When it turns out that a target
// had started anew under its ID, the later ones may have been begun by another software version
// than was recorded.
type beginnings struct {
	streams map[directory.TargetKey][]beginning // oldest first
}

// beginning is the beginning of one stream.
type beginning struct {
	id   stream.ID
	call *call
	at   time.Time
}

func newBeginnings() beginnings {
	return beginnings{streams: map[directory.TargetKey][]beginning{}}
}

func (beginnings *beginnings) add(key directory.TargetKey, added beginning) {
	beginnings.streams[key] = append(beginnings.streams[key], added)
	for other, streams := range beginnings.streams {
		for len(streams) > 0 && added.at.Sub(streams[0].at) > beginningTTL {
			streams = streams[1:]
		}
		beginnings.streams[other] = streams
		if len(streams) == 0 {
			delete(beginnings.streams, other)
		}
	}
}

// takeAfter removes the streams of a target and returns those that may have begun after it
// had started anew at startedAt, in Unix milliseconds. Without trust in the time of day, these
// are all.
func (beginnings *beginnings) takeAfter(key directory.TargetKey, startedAt int64, clockTrusted bool) []beginning {
	var after []beginning
	for _, begun := range beginnings.streams[key] {
		if !clockTrusted || begun.at.Add(dispatch.ClockSkew).UnixMilli() >= startedAt {
			after = append(after, begun)
		}
	}
	delete(beginnings.streams, key)
	return after
}

// replaced records that the target of key had ended and another incarnation with its ID had
// started at startedAt. The origins of streams that may have begun there are not known any more,
// here and at their keepers.
func (origins *origins) replaced(key directory.TargetKey, service string, startedAt int64) {
	gateway := origins.gateway
	origins.mu.Lock()
	uncertain := origins.beginnings.takeAfter(key, startedAt, gateway.clockTrusted())
	for _, begun := range uncertain {
		begun.call.originUncertain.Store(true)
		origins.table.Record(begun.id, uncertainOrigin, streamRetention(begun.call.route), gateway.clock.Now())
		for index := range origins.own {
			if origins.own[index].id == begun.id {
				origins.own[index].origin = uncertainOrigin
			}
		}
		origins.begun++ // the stored records have changed
	}
	origins.mu.Unlock()
	gateway.metrics.Add("origins.uncertain", int64(len(uncertain)))
	go origins.announceUncertain(uncertain) // the caller may hold locks that sending takes
	for _, begun := range uncertain {
		gateway.log.Infof("stream %q of service %q may have begun at target %s after its start at Unix ms %d, its software version is not known", begun.call.head.ID, service, key.ID, startedAt)
	}
}

// announceUncertain sends the keepers of the streams that their origins are not known any more.
func (origins *origins) announceUncertain(uncertain []beginning) {
	gateway := origins.gateway
	for _, begun := range uncertain {
		record := wire.StreamOrigin{Stream: uint64(begun.id), Origin: uint64(uncertainOrigin), Retention: streamRetention(begun.call.route)}
		gateway.peers.sendEach(stream.Keepers(begun.id, gateway.peers.liveEntries(), originKeepers), &wire.StreamOrigins{Records: []wire.StreamOrigin{record}})
	}
}

// uncertainOrigin contradicts any origin that is recorded for a stream.
var uncertainOrigin = stream.NewOrigin("", "")

// clockTrusted reports whether the time of day has not been set since the start of the process.
func (gateway *Gateway) clockTrusted() bool {
	now := gateway.clock.Now()
	step := now.Round(0).Sub(gateway.startedAt.Round(0)) - now.Sub(gateway.startedAt)
	return step.Abs() <= maxClockStep
}
