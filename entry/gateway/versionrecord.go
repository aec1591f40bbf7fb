package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
	"endiverill.example/kernel/stream"
)

const (
	versionsInterval = 250 * time.Millisecond // between two looks for changes, and before a failed read is repeated
	versionsTimeout  = time.Second            // of one access to the object
)

// versionRecord keeps in the store at which software versions of each service streams may have
// begun lately, so that entries know it after all of them have been killed. Each entry reads it
// at its start, and the one that plans writes it; stream.Admission decides what.
type versionRecord struct {
	gateway *Gateway
	object  uint64 // version of the object that this entry last read or wrote
	written []byte // its value
}

// storedVersions is the stored form. Releases before it stored a map of the admitted ones.
type storedVersions struct {
	Admitted   map[string][]string `json:"admitted"`
	Announced  map[string][]string `json:"announced,omitempty"`
	Incomplete bool                `json:"incomplete,omitempty"`
	Epoch      uint64              `json:"epoch,omitempty"` // of the store when it was written, as far as the writer knew
}

// The history of versions has a gap if the list in force was older than maxSoleListAge: a
// version may have come and gone meanwhile. Then the object is read again.

func (versionRecord *versionRecord) run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		switch {
		case versionRecord.gateway.syncer.listAge() > maxSoleListAge:
			versionRecord.gateway.origins.setRecalled(false)
		case versionRecord.gateway.syncer.listGap() > maxSoleListAge:
			versionRecord.gateway.origins.setRecalled(false)
			versionRecord.gateway.syncer.resetListGap() // the object is read next
			continue
		case !versionRecord.gateway.origins.isRecalled():
			if err = versionRecord.recall(ctx); err == nil {
				versionRecord.gateway.origins.setRecalled(true)
			}
		case versionRecord.gateway.planner.fence() != 0:
			err = versionRecord.write(ctx)
		}
		if err != nil {
			versionRecord.gateway.log.Infof("the software versions of the services were not read or stored, they will be again: %v", err)
		}
		select {
		case <-versionRecord.gateway.clock.After(versionsInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

func (origins *origins) setRecalled(recalled bool) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	origins.recalled = recalled
}

func (origins *origins) isRecalled() bool {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	return origins.recalled
}

// recall takes over the versions in the store. A record of an earlier epoch is what the store
// had before it came back from a copy, and lacks what was written since.
func (versionRecord *versionRecord) recall(ctx context.Context) error {
	askedAt := versionRecord.gateway.clock.Now()
	found, record, err := versionRecord.read(ctx)
	if err != nil {
		return err
	}
	lost := found.Version() == 0 && versionRecord.object != 0
	record.Incomplete = record.Incomplete || lost || versionRecord.outdated(found)
	if record.Incomplete {
		versionRecord.gateway.metrics.Add("streams.records_lost", 1)
		versionRecord.gateway.log.Warnf("the store has lost at which software versions streams began, it has %v; streams that no entry knows are not taken up for %v",
			record.Admitted, stream.VersionRetention)
	}
	versionRecord.object, versionRecord.written = found.Version(), found.Value()
	versionRecord.gateway.origins.recall(record, askedAt)
	return nil
}

// read returns the object, of version 0 if there is none, and what it holds.
func (versionRecord *versionRecord) read(ctx context.Context) (object.Object, stream.VersionRecord, error) {
	gateway := versionRecord.gateway
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	found, err := gateway.options.Store.Get(ctx, "versions", gateway.options.VersionsKey)
	if errors.Is(err, object.ErrNotFound) {
		return object.Object{}, stream.VersionRecord{}, nil
	}
	if err != nil {
		return object.Object{}, stream.VersionRecord{}, err
	}
	record, err := decodeVersions(found.Value())
	if err != nil {
		gateway.log.Warnf("the software versions in the store are malformed and will be replaced: %v", err)
		record.Incomplete = true
	}
	return found, record, nil
}

// outdated reports whether an object was written in an earlier epoch of the store.
func (versionRecord *versionRecord) outdated(found object.Object) bool {
	var stored struct {
		Epoch uint64 `json:"epoch"`
	}
	// One that cannot be decoded, or is of a release that wrote none, has epoch 0.
	_ = json.Unmarshal(found.Value(), &stored)
	return stored.Epoch < object.EpochOf(found.Version())
}

// decodeVersions decodes the stored form, and that of earlier releases.
func decodeVersions(data []byte) (stream.VersionRecord, error) {
	var stored storedVersions
	if err := json.Unmarshal(data, &stored); err != nil {
		return stream.VersionRecord{}, err
	}
	if stored.Admitted == nil {
		if err := json.Unmarshal(data, &stored.Admitted); err != nil {
			return stream.VersionRecord{}, err
		}
	}
	return stream.VersionRecord{Admitted: stored.Admitted, Announced: stored.Announced, Incomplete: stored.Incomplete}, nil
}

// recall takes over what the store had when it was asked at the given time.
func (origins *origins) recall(record stream.VersionRecord, askedAt time.Time) {
	now := origins.gateway.clock.Now()
	origins.mu.Lock()
	recall := origins.versions.Recall
	if record.Incomplete {
		recall = origins.versions.RecallIncomplete
	}
	recall(record.Admitted, now)
	recall(record.Announced, now)
	origins.admission.Read(record, askedAt, now)
	origins.mu.Unlock()
	origins.applyAdmission()
}

// applyAdmission has the dispatcher take over which software versions are admitted.
func (origins *origins) applyAdmission() {
	gateway := origins.gateway
	gateway.mu.Lock()
	gateway.dispatcher.SetAdmission(origins.admits)
	gateway.mu.Unlock()
	gateway.changed.broadcast()
}

func (origins *origins) admits(service, software string) bool {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	return origins.admission.Admits(service, software)
}

// admissionKnown reports whether it is known which versions are admitted, or does not matter as
// one alone is listed.
func (origins *origins) admissionKnown() bool {
	several, _ := origins.severalVersions()
	origins.mu.Lock()
	defer origins.mu.Unlock()
	return !several || origins.admission.Known()
}

// admitted returns what this entry sends the others while it plans.
func (origins *origins) admitted() []uint64 {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	var admitted []uint64
	for _, origin := range origins.admission.Admitted() {
		admitted = append(admitted, uint64(origin))
	}
	return admitted
}

// receiveAdmitted takes over what the entry that plans with the fence admits.
func (origins *origins) receiveAdmitted(fence uint64, admitted []uint64) {
	received := make([]stream.Origin, 0, len(admitted))
	for _, origin := range admitted {
		received = append(received, stream.Origin(origin))
	}
	origins.mu.Lock()
	changed := origins.admission.Receive(fence, received)
	origins.mu.Unlock()
	if changed {
		origins.applyAdmission()
	}
}

// begunAt returns the software version at which all streams of a service have begun that no
// entry knows, if that is known.
func (origins *origins) begunAt(service string, within time.Duration) (software string, ok bool) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	if within > stream.VersionRetention {
		return "", false
	}
	return origins.admission.BegunAt(service, origins.gateway.clock.Now())
}

// write stores the versions if they have changed or the store may have lost them, together with
// those that another entry has stored since. What this entry knows is complete, whatever the
// store has lost.
func (versionRecord *versionRecord) write(ctx context.Context) error {
	if versionRecord.unchanged() {
		return nil
	}
	askedAt := versionRecord.gateway.clock.Now()
	found, record, err := versionRecord.read(ctx)
	if err != nil {
		return err
	}
	if found.Version() != versionRecord.object && found.Version() != 0 && !versionRecord.outdated(found) {
		versionRecord.gateway.origins.recall(record, askedAt)
	}
	versionRecord.object = found.Version()
	planned := versionRecord.plan()
	data, err := versionRecord.encode(planned)
	if err != nil {
		return err
	}
	gateway := versionRecord.gateway
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	version, err := gateway.options.Store.Update(ctx, "versions", gateway.options.VersionsKey, data, versionRecord.object)
	if err != nil {
		return err
	}
	versionRecord.object, versionRecord.written = version, data
	origins := gateway.origins
	origins.mu.Lock()
	origins.admission.Written(planned, gateway.clock.Now())
	origins.mu.Unlock()
	origins.applyAdmission()
	gateway.log.Infof("streams may begin at software versions %v, and soon at %v", planned.Admitted, planned.Announced)
	gateway.peers.documentConfirmed()
	return nil
}

// unchanged reports whether the store has what it should, unless it has come back from a copy:
// then its epoch is another one.
func (versionRecord *versionRecord) unchanged() bool {
	data, err := versionRecord.encode(versionRecord.plan())
	return err == nil && bytes.Equal(data, versionRecord.written)
}

// plan returns what the store should hold.
func (versionRecord *versionRecord) plan() stream.VersionRecord {
	origins := versionRecord.gateway.origins
	now := origins.gateway.clock.Now()
	origins.mu.Lock()
	defer origins.mu.Unlock()
	serving := map[string][]string{}
	for _, target := range origins.listed {
		if !target.Draining() && !slices.Contains(serving[target.Service()], target.Software()) {
			serving[target.Service()] = append(serving[target.Service()], target.Software())
		}
	}
	return origins.admission.Plan(origins.versions.Recorded(now), serving, now)
}

// encode returns the stored form of a record that is written now.
func (versionRecord *versionRecord) encode(record stream.VersionRecord) ([]byte, error) {
	return json.Marshal(storedVersions{
		Admitted: record.Admitted, Announced: record.Announced, Incomplete: record.Incomplete,
		Epoch: object.CurrentEpoch(versionRecord.gateway.options.Store),
	})
}
