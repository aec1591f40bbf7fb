package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

// AnyGeneration as the base of Apply accepts any generation in force.
const AnyGeneration = ^uint64(0)

// ErrConflict is returned by Apply when the head is not at the expected generation,
// because another configuration has been applied since.
var ErrConflict = errors.New("another configuration was applied concurrently")

// Applier writes configurations of a site to the object API on behalf of an
// operator.
type Applier struct {
	Store    object.Store
	Site     string
	Operator string
}

// Current returns the head in force, its rendered document and the object version
// of the head. The head's generation is 0 when the site has no configuration.
func (applier Applier) Current(ctx context.Context) (Head, []byte, uint64, error) {
	found, err := applier.Store.Get(ctx, "operator", HeadKey(applier.Site))
	if errors.Is(err, object.ErrNotFound) {
		return Head{}, nil, 0, nil
	}
	if err != nil {
		return Head{}, nil, 0, errors.Wrap(err, "read the configuration head")
	}
	head, err := ParseHead(found.Value())
	if err != nil {
		return Head{}, nil, 0, err
	}
	document, err := applier.Store.Get(ctx, "operator", DocumentKey(applier.Site, head.hash))
	if err != nil {
		return Head{}, nil, 0, errors.Wrapf(err, "read the document of generation %d", head.generation)
	}
	return head, document.Value(), found.Version(), nil
}

// Apply validates a rendered document and makes it the next generation. It
// returns an ErrConflict that names the generation and operator in force when base is
// neither that generation nor AnyGeneration, or when a concurrent call of any
// operator replaces the head. Keys in force that the document lacks are added to it, and
// withdrawn keys stay withdrawn. A document equal to the one in force is accepted
// without a new generation.
func (applier Applier) Apply(ctx context.Context, rendered []byte, base uint64) (Head, error) {
	current, before, version, err := applier.Current(ctx)
	if err != nil {
		return Head{}, err
	}
	if base != AnyGeneration && base != current.generation {
		return Head{}, errors.Wrapf(ErrConflict, "generation %d by %s is in force, not %d", current.generation, current.operator, base)
	}
	if before != nil {
		if rendered, err = preserveKeys(before, rendered); err != nil {
			return Head{}, err
		}
	}
	if _, err := Parse(current.generation+1, rendered); err != nil {
		return Head{}, err
	}
	hash := ContentHash(rendered)
	if hash == current.hash {
		return current, nil
	}
	var patch []byte
	if before != nil {
		if patch, err = Diff(before, rendered); err != nil {
			return Head{}, err
		}
	}
	if err := applier.writeDocument(ctx, hash, rendered); err != nil {
		return Head{}, err
	}
	head, err := applier.writeHead(ctx, NewHead(current.generation+1, hash, applier.Operator, patch), version)
	if err == nil {
		applier.recordHistory(ctx, head)
	}
	return head, err
}

func historyPrefix(site string) string { return "config/" + site + "/history/" }

// recordHistory records an accepted head. Errors are ignored: the configuration is
// in force already, and a lost record only leaves a gap in the history.
func (applier Applier) recordHistory(ctx context.Context, head Head) {
	key := fmt.Sprintf("%s%012d", historyPrefix(applier.Site), head.generation)
	_, _ = applier.Store.Create(ctx, "operator", key, NewHead(head.generation, head.hash, head.operator, nil).Marshal())
}

// History returns the recorded heads without their patches, the oldest first.
func (applier Applier) History(ctx context.Context) ([]Head, error) {
	objects, err := applier.Store.List(ctx, "operator", historyPrefix(applier.Site))
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration history")
	}
	var heads []Head
	for _, object := range objects {
		head, err := ParseHead(object.Value())
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}

// Rollback applies the document of an earlier generation as the next one.
func (applier Applier) Rollback(ctx context.Context, generation uint64) (Head, error) {
	heads, err := applier.History(ctx)
	if err != nil {
		return Head{}, err
	}
	for _, head := range heads {
		if head.generation != generation {
			continue
		}
		document, err := applier.Store.Get(ctx, "operator", DocumentKey(applier.Site, head.hash))
		if err != nil {
			return Head{}, errors.Wrapf(err, "read the document of generation %d", generation)
		}
		return applier.Apply(ctx, document.Value(), AnyGeneration)
	}
	return Head{}, errors.Newf("generation %d is not in the history", generation)
}

// preserveKeys adds the keys of the document in force to a new document and keeps
// withdrawn keys withdrawn. Otherwise applying a file that is older than a grant
// or a withdrawal would undo it.
func preserveKeys(before, rendered []byte) ([]byte, error) {
	var current, document map[string]any
	if err := json.Unmarshal(before, &current); err != nil {
		return nil, errors.Wrap(err, "decode the document in force")
	}
	if err := json.Unmarshal(rendered, &document); err != nil {
		return nil, errors.Wrap(err, "decode the configuration")
	}
	currentKeys, _ := current["keys"].(map[string]any)
	keys, _ := document["keys"].(map[string]any)
	if keys == nil && len(currentKeys) > 0 {
		keys = map[string]any{}
		document["keys"] = keys
	}
	for id, value := range currentKeys {
		currentKey, _ := value.(map[string]any)
		newKey, declared := keys[id].(map[string]any)
		switch {
		case !declared:
			keys[id] = value
		case currentKey["withdrawn"] == true:
			newKey["withdrawn"] = true
		}
	}
	return json.MarshalIndent(document, "", "  ")
}

func (applier Applier) writeDocument(ctx context.Context, hash string, rendered []byte) error {
	key := DocumentKey(applier.Site, hash)
	_, err := applier.Store.Create(ctx, "operator", key, rendered)
	if err == nil || errors.Is(err, object.ErrConflict) {
		return nil
	}
	// The write may have succeeded although its answer was lost. The key contains
	// the hash of the content, so the object is the right one if it exists.
	if _, getErr := applier.Store.Get(ctx, "operator", key); getErr == nil {
		return nil
	}
	return errors.Wrap(err, "write the configuration document")
}

// writeHead replaces the head of the given object version. After a conflict or a lost
// answer it reads the head back: generation, hash and operator show whether the
// write took effect.
func (applier Applier) writeHead(ctx context.Context, head Head, version uint64) (Head, error) {
	_, err := applier.Store.Update(ctx, "operator", HeadKey(applier.Site), head.Marshal(), version)
	if err == nil {
		return head, nil
	}
	if errors.Is(err, object.ErrRefused) {
		return Head{}, errors.Wrap(err, "write the configuration head")
	}
	found, readErr := applier.Store.Get(ctx, "operator", HeadKey(applier.Site))
	if readErr != nil {
		return Head{}, errors.Wrapf(err, "unknown whether generation %d was accepted; check with the status command", head.generation)
	}
	stored, parseErr := ParseHead(found.Value())
	if parseErr != nil {
		return Head{}, parseErr
	}
	if stored.generation == head.generation && stored.hash == head.hash && stored.operator == head.operator {
		return head, nil
	}
	if stored.generation < head.generation {
		return Head{}, errors.Wrapf(err, "generation %d was not accepted", head.generation)
	}
	return Head{}, errors.Wrapf(ErrConflict, "generation %d by %s is in force", stored.generation, stored.operator)
}
