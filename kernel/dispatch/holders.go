package dispatch

import "slices"

// holding names a model of a service.
type holding struct{ service, model string }

// holders lists the listed targets that hold each model.
type holders map[holding][]*replica

// addAll lists a target under all that it holds.
func (holders holders) addAll(replica *replica) {
	for model := range replica.models {
		holders.add(replica, model)
	}
}

func (holders holders) add(replica *replica, model string) {
	key := holding{replica.target.Service(), model}
	if !slices.Contains(holders[key], replica) {
		holders[key] = append(holders[key], replica)
	}
}

func (holders holders) remove(replica *replica, model string) {
	key := holding{replica.target.Service(), model}
	if index := slices.Index(holders[key], replica); index >= 0 {
		holders[key] = slices.Delete(holders[key], index, index+1)
	}
	if len(holders[key]) == 0 {
		delete(holders, key)
	}
}
