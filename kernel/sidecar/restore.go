package sidecar

import "context"

// restoreModels looks up the models that an earlier incarnation of the target held,
// so that the controller loads them again. The list of targets contains an earlier
// incarnation for a while after its end.
func (sidecar *Sidecar) restoreModels(ctx context.Context) {
	document, _, err := sidecar.options.Source.Targets(ctx)
	if err != nil {
		sidecar.log.Warnf("list of targets is unavailable, models of an earlier incarnation are not loaded again: %v", err)
		return
	}
	targets, _, err := sidecar.options.Source.ParseTargets(document)
	if err != nil {
		sidecar.log.Warnf("list of targets cannot be parsed, models of an earlier incarnation are not loaded again: %v", err)
		return
	}
	sidecar.control.Post(func() {
		sidecar.listedTargets = targets
		sidecar.queueRestore()
		sidecar.advance(ctx)
	})
}

// queueRestore passes the models of the target's earlier incarnation to the controller,
// once both the list of targets and the current incarnation are known.
func (sidecar *Sidecar) queueRestore() {
	if sidecar.targetID == "" {
		return
	}
	for _, target := range sidecar.listedTargets {
		earlier := target.StartedAt() < sidecar.targetStartedAt && target.ID() != sidecar.targetID
		if target.Address() == sidecar.options.Target && earlier && len(target.Models()) > 0 {
			sidecar.log.Infof("target held %d models in its earlier incarnation %s", len(target.Models()), target.ID())
			sidecar.controller.SetRestore(target.Models())
		}
	}
	sidecar.listedTargets = nil
}
