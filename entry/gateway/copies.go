package gateway

import (
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

// origin is where a copy of a document comes from.
type origin struct {
	peer     string           // the entry that sent it; empty if this entry has read it from the platform
	at       time.Time        // when it was the newest
	position directory.Cursor // in the platform's history at which it was the newest; 0 if unknown
}

// record records that the document had this version.
func (origin origin) record(freshness *directory.Freshness, version uint64) {
	if origin.peer == "" {
		freshness.RecordOwnRead(version, origin.at)
		return
	}
	freshness.RecordRead(version, origin.at)
}

// String describes the origin in log lines.
func (origin origin) String() string {
	if origin.peer == "" {
		return "the platform"
	}
	return "peer " + origin.peer
}

// snapshot returns the documents in force that are newer than those of the
// request.
func (syncer *syncer) snapshot(request *wire.SnapshotRequest) *wire.Snapshot {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	now := syncer.gateway.clock.Now()
	snapshot := &wire.Snapshot{ListVersion: syncer.listFreshness.Version()}
	snapshot.VersionAge, _ = syncer.configFreshness.Age(now)
	snapshot.ListAge, _ = syncer.listFreshness.Age(now)
	if syncer.config != nil && syncer.config.version > request.Version {
		snapshot.Config = syncer.config.content
	}
	if syncer.list != nil && syncer.list.version > request.ListVersion {
		snapshot.Targets = syncer.list.content
	}
	return snapshot
}

// version returns the version of this entry's copy of a document, 0 without one.
func (syncer *syncer) version(kind wire.DocumentKind) uint64 {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	if kind == wire.DocumentConfig {
		return syncer.configFreshness.Version()
	}
	return syncer.listFreshness.Version()
}

// document returns this entry's copy of a document and the time since it was the newest;
// nil if there is none. It returns the configuration before the one in force to an entry
// that has received a part of it, by its digest: otherwise one behind a slow link would get
// none while they change faster than one arrives.
func (syncer *syncer) document(kind wire.DocumentKind, digest uint64) (found *document, age time.Duration) {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	now := syncer.gateway.clock.Now()
	switch kind {
	case wire.DocumentConfig:
		if previous := syncer.previousConfig; previous != nil && digest != 0 && previous.sent(digest) {
			return previous, now.Sub(previous.confirmed)
		}
		age, _ = syncer.configFreshness.Age(now)
		return syncer.config, age
	case wire.DocumentTargets:
		age, _ = syncer.listFreshness.Age(now)
		return syncer.list, age
	default:
		return nil, 0
	}
}

// fillState sets the versions of this entry's documents in a message, and how long ago it
// last read them itself.
func (syncer *syncer) fillState(state *wire.EntryState) {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	now := syncer.gateway.clock.Now()
	state.Version, state.ListVersion = syncer.configFreshness.Version(), syncer.listFreshness.Version()
	state.VersionAge, state.ListAge = syncer.configFreshness.OwnReadAge(now), syncer.listFreshness.OwnReadAge(now)
}

// observePeer records the versions and ages of a peer's documents, by a message that arrived at
// the given time. It reports which of them are newer than this entry's.
func (syncer *syncer) observePeer(state *wire.EntryState, arrivedAt time.Time) (newerConfig, newerList bool) {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	newerConfig = syncer.configFreshness.ObserveCopy(state.Version, state.VersionAge, arrivedAt)
	newerList = syncer.listFreshness.ObserveCopy(state.ListVersion, state.ListAge, arrivedAt)
	if state.ListVersion > 0 && state.ListVersion == syncer.listFreshness.Version() {
		syncer.targetTracker.RecordConfirmation(arrivedAt.Add(-state.ListAge))
	}
	return newerConfig, newerList
}

// applyFetched puts a document from a peer in force if it is newer. Its age is taken from
// the time the request for its last part was sent, so that no document counts as confirmed
// later than it was.
func (syncer *syncer) applyFetched(kind wire.DocumentKind, part *wire.DocumentPart, compressed []byte, peer string, sent time.Time) {
	origin := origin{peer: peer, at: sent.Add(-part.Age), position: directory.Cursor(part.Position)}
	content, err := expand(compressed)
	if err == nil && kind == wire.DocumentConfig {
		syncer.applyConfig(content, origin)
		return
	}
	var listed []*directory.Target
	skipped := 0
	if err == nil {
		listed, skipped, err = syncer.source.ParseTargets(content)
	}
	if err != nil {
		syncer.gateway.log.Warnf("invalid %s from peer %s, the previous one stays in force: %v", documentName(kind), peer, err)
		return
	}
	if part.Version > syncer.version(kind) {
		syncer.applyTargets(content, listed, skipped, part.Version, origin)
	}
}
