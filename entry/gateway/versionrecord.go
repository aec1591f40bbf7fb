package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

const (
	versionsInterval = 250 * time.Millisecond // between two looks for changes, and before a failed read is repeated
	versionsTimeout  = time.Second            // of one access to the object
)

// versionRecord keeps in the store which software versions have served each service lately, so
// that entries know it after all of them have been killed. Each entry reads it at its start,
// and the one that plans writes it. The stored form maps each service to its versions.
type versionRecord struct {
	gateway *Gateway
	object  uint64 // version of the object that this entry last read or wrote
	written []byte // its value
}

// The history of versions has a gap while the list in force is older than maxSoleListAge: a
// version may have come and gone meanwhile. Then the object is read again.

func (versionRecord *versionRecord) run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		switch {
		case versionRecord.gateway.syncer.listAge() > maxSoleListAge:
			versionRecord.gateway.origins.setRecalled(false)
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
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	found, err := gateway.options.Store.Get(ctx, "versions", gateway.options.VersionsKey)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return err
	}
	recorded := map[string][]string{}
	if err == nil && json.Unmarshal(found.Value(), &recorded) != nil {
		gateway.log.Warnf("the software versions in the store are malformed and will be replaced")
		recorded = map[string][]string{}
	}
	if found.Version() == versionRecord.object && versionRecord.object != 0 {
		return nil
	}
	versionRecord.object, versionRecord.written = found.Version(), found.Value()
	origins := gateway.origins
	origins.mu.Lock()
	defer origins.mu.Unlock()
	origins.versions.Recall(recorded, gateway.clock.Now())
	return nil
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
	data, err := versionRecord.encode()
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
	return nil
}

func (versionRecord *versionRecord) unchanged() bool {
	data, err := versionRecord.encode()
	return err == nil && bytes.Equal(data, versionRecord.written)
}

func (versionRecord *versionRecord) encode() ([]byte, error) {
	origins := versionRecord.gateway.origins
	origins.mu.Lock()
	defer origins.mu.Unlock()
	return json.Marshal(origins.versions.Recorded(origins.gateway.clock.Now()))
}
