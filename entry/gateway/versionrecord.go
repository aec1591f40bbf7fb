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
	Admitted  map[string][]string `json:"admitted"`
	Announced map[string][]string `json:"announced,omitempty"`
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
			versionRecord.object = 0
			if err = versionRecord.read(ctx); err == nil {
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

// read recalls the versions in the store, unless this entry has written or read them last.
func (versionRecord *versionRecord) read(ctx context.Context) error {
	gateway := versionRecord.gateway
	askedAt := gateway.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	found, err := gateway.options.Store.Get(ctx, "versions", gateway.options.VersionsKey)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return err
	}
	record := stream.VersionRecord{}
	if err == nil {
		if record, err = decodeVersions(found.Value()); err != nil {
			gateway.log.Warnf("the software versions in the store are malformed and will be replaced: %v", err)
		}
	}
	if found.Version() == versionRecord.object && versionRecord.object != 0 {
		return nil
	}
	versionRecord.object, versionRecord.written = found.Version(), found.Value()
	gateway.origins.recall(record, askedAt)
	return nil
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
	return stream.VersionRecord{Admitted: stored.Admitted, Announced: stored.Announced}, nil
}

// recall takes over what the store had when it was asked at the given time.
func (origins *origins) recall(record stream.VersionRecord, askedAt time.Time) {
	now := origins.gateway.clock.Now()
	origins.mu.Lock()
	origins.versions.Recall(record.Admitted, now)
	origins.versions.Recall(record.Announced, now)
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

// write stores the versions if they have changed, together with those that another entry has
// stored since.
func (versionRecord *versionRecord) write(ctx context.Context) error {
	if versionRecord.unchanged() {
		return nil
	}
	if err := versionRecord.read(ctx); err != nil {
		return err
	}
	planned := versionRecord.plan()
	data, err := encodeVersions(planned)
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

func (versionRecord *versionRecord) unchanged() bool {
	data, err := encodeVersions(versionRecord.plan())
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

func encodeVersions(record stream.VersionRecord) ([]byte, error) {
	return json.Marshal(storedVersions{Admitted: record.Admitted, Announced: record.Announced})
}
