package deployment

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/metric"
)

// InstanceCount returns the number of entries and agents started so far; a restarted
// agent counts once.
func (deployment *Deployment) InstanceCount() int { return len(deployment.Instances()) }

// Instances returns the entries and agents started so far, also those that have been
// stopped. An agent that was restarted for the same target replaces the earlier one.
func (deployment *Deployment) Instances() []*instance.Instance {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	var instances []*instance.Instance
	for _, process := range deployment.entries {
		instances = append(instances, process.Instance)
	}
	for _, process := range deployment.agents {
		instances = append(instances, process.Instance)
	}
	return instances
}

// ControlBytes returns the bytes of all control messages between instances since
// their start. Requests and responses don't count.
func (deployment *Deployment) ControlBytes() int64 {
	total := int64(0)
	for _, inst := range deployment.Instances() {
		total += controlBytes(inst.Metrics())
	}
	return total
}

// controlBytes returns the control bytes of one instance.
func controlBytes(metrics *metric.Set) int64 {
	total := int64(0)
	metrics.Each(func(name string, value int64) {
		if strings.HasPrefix(name, "bytes.") {
			total += value
		}
	})
	return total
}

const generationPollInterval = time.Millisecond

// WaitGeneration waits until every instance has at least the given generation of
// the configuration in force, and fails after the timeout. It waits for stopped
// instances too, so it fails unless they had the generation before they stopped.
func (deployment *Deployment) WaitGeneration(generation uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		pending := 0
		for _, inst := range deployment.Instances() {
			if document := inst.Follower().Document(); document == nil || document.Generation() < generation {
				pending++
			}
		}
		if pending == 0 {
			return nil
		}
		time.Sleep(generationPollInterval)
	}
	return errors.Newf("generation %d was not in force on every instance within %v", generation, timeout)
}

// AddKey adds a key with the given ID and secret and returns the new generation. The
// key belongs to the customer whose name sorts last, so that each run chooses the same.
func (deployment *Deployment) AddKey(id, secret string) (uint64, error) {
	return deployment.edit(func(document map[string]any) {
		customer := ""
		for name := range deployment.spec.Customers {
			customer = max(customer, name)
		}
		document["keys"].(map[string]any)[id] = map[string]any{"customer": customer, "sha256": config.Digest(secret)}
	})
}

// WithdrawKey withdraws the key with the given ID and returns the new generation.
func (deployment *Deployment) WithdrawKey(id string) (uint64, error) {
	return deployment.edit(func(document map[string]any) {
		if key, found := document["keys"].(map[string]any)[id].(map[string]any); found {
			key["withdrawn"] = true
		}
	})
}

// edit applies a change to the configuration in force and returns the generation
// of the result.
func (deployment *Deployment) edit(change func(document map[string]any)) (uint64, error) {
	applier := config.Applier{Store: deployment.store, Site: site, Operator: "measure"}
	_, rendered, _, err := applier.Current(deployment.ctx)
	if err != nil {
		return 0, err
	}
	var document map[string]any
	if err := json.Unmarshal(rendered, &document); err != nil {
		return 0, err
	}
	change(document)
	data, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	if data, err = config.Merge(data, nil); err != nil {
		return 0, err
	}
	head, err := applier.Apply(deployment.ctx, data, config.AnyGeneration)
	return head.Generation(), err
}
