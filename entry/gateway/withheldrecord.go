package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
	"endiverill.example/kernel/quarantine"
)

const (
	withheldInterval = time.Second // between two looks for changes, and before a failed read is repeated
	withheldTimeout  = time.Second // of one access to the object
	withheldSource   = "store"     // in place of the name of an entry
)

// withheldRecord keeps in the store which whole requests have ended several targets, so that
// entries know it after all of them have been killed. Each entry reads it at its start, and
// the one that plans writes it.
type withheldRecord struct {
	gateway *Gateway
	written int // ends in the object as this entry last read or wrote it
}

// storedRequest is a whole request in the stored form.
type storedRequest struct {
	Identity string   `json:"identity"` // in hexadecimal
	Ended    []uint32 `json:"ended"`
	EndedAt  int64    `json:"ended_at"` // Unix milliseconds; a step of the time of day shifts the end of the rest
}

func (withheldRecord *withheldRecord) run(ctx context.Context) error {
	read := false
	for ctx.Err() == nil {
		switch {
		case !read:
			read = withheldRecord.read(ctx)
		case withheldRecord.gateway.planner.fence() != 0:
			withheldRecord.write(ctx)
		}
		select {
		case <-withheldRecord.gateway.clock.After(withheldInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// read applies what is stored and reports whether the store has answered.
func (withheldRecord *withheldRecord) read(ctx context.Context) bool {
	_, stored, err := withheldRecord.get(ctx)
	if err != nil {
		withheldRecord.gateway.log.Debugf("the withheld requests cannot be read: %v", err)
		return false
	}
	withheldRecord.apply(stored)
	return true
}

// get returns the object and what it holds, nothing if there is none or it cannot be read.
func (withheldRecord *withheldRecord) get(ctx context.Context) (object.Object, []storedRequest, error) {
	gateway := withheldRecord.gateway
	ctx, cancel := context.WithTimeout(ctx, withheldTimeout)
	defer cancel()
	found, err := gateway.options.Store.Get(ctx, "withheld", gateway.options.WithheldKey)
	if errors.Is(err, object.ErrNotFound) {
		return object.Object{}, nil, nil
	}
	if err != nil {
		return object.Object{}, nil, err
	}
	var stored []storedRequest
	if err := json.Unmarshal(found.Value(), &stored); err != nil {
		gateway.log.Warnf("the withheld requests in the store are malformed and will be replaced: %v", err)
		return found, nil, nil
	}
	return found, stored, nil
}

func (withheldRecord *withheldRecord) apply(stored []storedRequest) {
	gateway := withheldRecord.gateway
	now := gateway.clock.Now()
	var evidence []quarantine.Evidence
	withheldRecord.written = 0
	for _, request := range stored {
		identity, err := strconv.ParseUint(request.Identity, 16, 64)
		if err != nil {
			continue // written by a later release
		}
		withheldRecord.written += len(request.Ended)
		age := max(now.Sub(time.UnixMilli(request.EndedAt)), 0)
		evidence = append(evidence, quarantine.Evidence{Part: quarantine.Whole(identity), Ends: len(request.Ended), Ended: request.Ended, Age: age})
	}
	gateway.mu.Lock()
	gateway.quarantine.Apply(withheldSource, evidence, now)
	gateway.mu.Unlock()
}

// write stores what this entry knows, together with what is stored, if that has changed.
func (withheldRecord *withheldRecord) write(ctx context.Context) {
	if withheldRecord.countLasting() == withheldRecord.written {
		return
	}
	gateway := withheldRecord.gateway
	found, stored, err := withheldRecord.get(ctx)
	if err == nil {
		withheldRecord.apply(stored)
		now := gateway.clock.Now()
		requests, ends := []storedRequest{}, 0
		for _, item := range withheldRecord.lasting() {
			requests = append(requests, storedRequest{Identity: strconv.FormatUint(uint64(item.Part), 16), Ended: item.Ended, EndedAt: now.Add(-item.Age).UnixMilli()})
			ends += len(item.Ended)
		}
		var data []byte
		if data, err = json.Marshal(requests); err == nil {
			ctx, cancel := context.WithTimeout(ctx, withheldTimeout)
			defer cancel()
			if _, err = gateway.options.Store.Update(ctx, "withheld", gateway.options.WithheldKey, data, found.Version()); err == nil {
				withheldRecord.written = ends
			}
		}
	}
	if err != nil {
		gateway.log.Infof("the withheld requests were not stored, they will be again: %v", err)
	}
}

func (withheldRecord *withheldRecord) lasting() []quarantine.Evidence {
	gateway := withheldRecord.gateway
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.quarantine.Lasting(gateway.clock.Now())
}

func (withheldRecord *withheldRecord) countLasting() int {
	ends := 0
	for _, item := range withheldRecord.lasting() {
		ends += len(item.Ended)
	}
	return ends
}
