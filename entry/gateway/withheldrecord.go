package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
	"endiverill.example/kernel/quarantine"
)

const (
	withheldInterval = time.Second // between two looks for changes, and before a failed read is repeated
	withheldTimeout  = time.Second // of one access to the object
)

// withheldRecord keeps in the store which whole requests and which parts of prompts have ended
// several targets, so that entries know it after all of them have been killed. Each entry reads
// it at its start, and the one that plans writes it.
type withheldRecord struct {
	gateway *Gateway
	object  uint64 // version of the object that this entry last read or wrote
	written uint64 // digest of what is in it
}

// storedEvidence is the stored form of what is known of a whole request, or of what one entry
// has seen of a part of prompts. Releases that know no parts pass over those.
type storedEvidence struct {
	Identity string   `json:"identity,omitempty"` // of a whole request, in hexadecimal
	Ended    []uint32 `json:"ended,omitempty"`
	Part     string   `json:"part,omitempty"` // in hexadecimal
	Entry    string   `json:"entry,omitempty"`
	Ends     int      `json:"ends,omitempty"`
	With     []string `json:"with,omitempty"`
	WasGood  bool     `json:"was_good,omitempty"`
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
	found, stored, err := withheldRecord.get(ctx)
	if err != nil {
		withheldRecord.gateway.log.Debugf("the withheld requests cannot be read: %v", err)
		return false
	}
	withheldRecord.apply(stored)
	withheldRecord.object, withheldRecord.written = found.Version(), digest(stored)
	if len(stored) > 0 {
		withheldRecord.gateway.metrics.Add("prompts.restored", int64(len(stored)))
		withheldRecord.gateway.log.Infof("evidence of %d requests and parts of prompts that ended targets is restored", len(stored))
	}
	return true
}

// get returns the object and what it holds, nothing if there is none or it cannot be read.
func (withheldRecord *withheldRecord) get(ctx context.Context) (object.Object, []storedEvidence, error) {
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
	var stored []storedEvidence
	if err := json.Unmarshal(found.Value(), &stored); err != nil {
		gateway.log.Warnf("the withheld requests in the store are malformed and will be replaced: %v", err)
		return found, nil, nil
	}
	return found, stored, nil
}

func (withheldRecord *withheldRecord) apply(stored []storedEvidence) {
	gateway := withheldRecord.gateway
	now := gateway.clock.Now()
	own := gateway.peers.ownAddress().String()
	var lasting []quarantine.Lasting
	for _, item := range stored {
		if last, ok := item.decode(now); ok {
			if last.Entry == own {
				last.Entry = ""
			}
			lasting = append(lasting, last)
		}
	}
	gateway.mu.Lock()
	gateway.quarantine.Restore(lasting, now)
	gateway.mu.Unlock()
}

// decode returns the evidence; ok is false if a later release has written it.
func (storedEvidence storedEvidence) decode(now time.Time) (lasting quarantine.Lasting, ok bool) {
	evidence := quarantine.Evidence{
		Ends: storedEvidence.Ends, Ended: storedEvidence.Ended,
		Age: max(now.Sub(time.UnixMilli(storedEvidence.EndedAt)), 0),
	}
	identity, err := strconv.ParseUint(storedEvidence.Identity, 16, 64)
	if err == nil {
		evidence.Part, evidence.Ends = quarantine.Whole(identity), len(storedEvidence.Ended)
		return quarantine.Lasting{Evidence: evidence}, true
	}
	part, err := strconv.ParseUint(storedEvidence.Part, 16, 64)
	if err != nil || storedEvidence.Ends <= 0 || storedEvidence.Entry == "" {
		return quarantine.Lasting{}, false
	}
	evidence.Part = quarantine.Shared(part)
	for _, other := range storedEvidence.With {
		if with, err := strconv.ParseUint(other, 16, 64); err == nil {
			evidence.With = append(evidence.With, quarantine.Part(with))
		}
	}
	return quarantine.Lasting{Entry: storedEvidence.Entry, WasGood: storedEvidence.WasGood, Evidence: evidence}, true
}

// write stores what this entry knows, together with what another one has stored, if that has
// changed or the store has come back from a copy.
func (withheldRecord *withheldRecord) write(ctx context.Context) {
	gateway := withheldRecord.gateway
	lost := withheldRecord.object != 0 && object.EpochOf(withheldRecord.object) < object.CurrentEpoch(gateway.options.Store)
	if digest(withheldRecord.lasting()) == withheldRecord.written && !lost {
		return
	}
	found, stored, err := withheldRecord.get(ctx)
	if err == nil {
		if found.Version() != withheldRecord.object {
			withheldRecord.apply(stored)
		}
		lasting := withheldRecord.lasting()
		var data []byte
		if data, err = json.Marshal(lasting); err == nil {
			ctx, cancel := context.WithTimeout(ctx, withheldTimeout)
			defer cancel()
			var version uint64
			if version, err = gateway.options.Store.Update(ctx, "withheld", gateway.options.WithheldKey, data, found.Version()); err == nil {
				withheldRecord.object, withheldRecord.written = version, digest(lasting)
			}
		}
	}
	if err != nil {
		gateway.log.Infof("the withheld requests were not stored, they will be again: %v", err)
	}
}

// lasting returns what the store should hold.
func (withheldRecord *withheldRecord) lasting() []storedEvidence {
	gateway := withheldRecord.gateway
	own := gateway.peers.ownAddress().String()
	now := gateway.clock.Now()
	gateway.mu.Lock()
	lasting := gateway.quarantine.Lasting(now)
	gateway.mu.Unlock()
	stored := make([]storedEvidence, 0, len(lasting))
	for _, last := range lasting {
		evidence := last.Evidence
		item := storedEvidence{EndedAt: now.Add(-evidence.Age).UnixMilli()}
		if evidence.Part == quarantine.Whole(uint64(evidence.Part)) {
			item.Identity, item.Ended = strconv.FormatUint(uint64(evidence.Part), 16), evidence.Ended
			stored = append(stored, item)
			continue
		}
		item.Part, item.Entry, item.Ends, item.WasGood = strconv.FormatUint(uint64(evidence.Part), 16), last.Entry, evidence.Ends, last.WasGood
		if item.Entry == "" {
			item.Entry = own
		}
		for _, other := range evidence.With {
			item.With = append(item.With, strconv.FormatUint(uint64(other), 16))
		}
		stored = append(stored, item)
	}
	return stored
}

// digest returns a digest of stored evidence, whatever its order and the times in it.
func digest(stored []storedEvidence) uint64 {
	sum := uint64(0)
	for _, item := range stored {
		ends := max(item.Ends, len(item.Ended))
		sum += xxhash.Sum64String(item.Identity + "/" + item.Part + "/" + item.Entry + "/" + strconv.Itoa(ends))
	}
	return sum
}
