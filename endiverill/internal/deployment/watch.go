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

// Instances returns how many entries and agents were started.
func (deployment *Deployment) Instances() int { return len(deployment.All()) }

// All returns every entry and agent that was started.
func (deployment *Deployment) All() []*instance.Instance {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	var all []*instance.Instance
	for _, process := range deployment.entries {
		all = append(all, process.Instance)
	}
	for _, process := range deployment.agents {
		all = append(all, process.Instance)
	}
	return all
}

// ControlBytes returns the bytes of all messages between instances but for
// requests and their answers.
func (deployment *Deployment) ControlBytes() int64 {
	total := int64(0)
	for _, one := range deployment.All() {
		total += controlBytes(one.Metrics())
	}
	return total
}

func controlBytes(metrics *metric.Set) int64 {
	total := int64(0)
	metrics.Each(func(name string, value int64) {
		if strings.HasPrefix(name, "bytes.") {
			total += value
		}
	})
	return total
}

// WaitGeneration returns once every instance goes by a generation.
func (deployment *Deployment) WaitGeneration(generation uint64, limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		behind := 0
		for _, one := range deployment.All() {
			if document := one.Follower().Document(); document == nil || document.Generation() < generation {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return errors.Newf("generation %d was not in force everywhere after %v", generation, limit)
}

// AddKey grants a key to the first customer and returns the new generation.
func (deployment *Deployment) AddKey(id, secret string) (uint64, error) {
	return deployment.edit(func(document map[string]any) {
		customer := ""
		for name := range deployment.spec.Customers {
			customer = max(customer, name)
		}
		document["keys"].(map[string]any)[id] = map[string]any{"customer": customer, "sha256": config.Digest(secret)}
	})
}

// WithdrawKey withdraws a key and returns the new generation.
func (deployment *Deployment) WithdrawKey(id string) (uint64, error) {
	return deployment.edit(func(document map[string]any) {
		if key, granted := document["keys"].(map[string]any)[id].(map[string]any); granted {
			key["withdrawn"] = true
		}
	})
}

// edit changes the configuration in force.
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
