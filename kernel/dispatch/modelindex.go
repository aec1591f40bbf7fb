package dispatch

import "slices"

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// modelIndex maps each model to the listed targets that hold it.
type modelIndex map[modelKey][]*replica

// addAll adds a target to the index under each model that it holds.
func (modelIndex modelIndex) addAll(replica *replica) {
	for model := range replica.models {
		modelIndex.add(replica, model)
	}
}

func (modelIndex modelIndex) add(replica *replica, model string) {
	key := modelKey{replica.target.Service(), model}
	if !slices.Contains(modelIndex[key], replica) {
		modelIndex[key] = append(modelIndex[key], replica)
	}
}

func (modelIndex modelIndex) remove(replica *replica, model string) {
	key := modelKey{replica.target.Service(), model}
	if index := slices.Index(modelIndex[key], replica); index >= 0 {
		modelIndex[key] = slices.Delete(modelIndex[key], index, index+1)
	}
	if len(modelIndex[key]) == 0 {
		delete(modelIndex, key)
	}
}
