package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

// AnyGeneration lets Apply follow whatever generation is in force.
const AnyGeneration = ^uint64(0)

// ErrRace says that another operator's configuration came first.
var ErrRace = errors.New("another configuration was applied meanwhile")

// Applier writes configurations to the object API.
type Applier struct {
	Store    object.Store
	Site     string
	Operator string
}

// Current returns the head in force, its rendered document and the head's
// version; generation 0 stands for none.
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

// Apply checks a rendered document and makes it the next generation. With a
// base other than AnyGeneration it loses to whoever moved the head meanwhile,
// and names what it lost against. Keys in force are kept, and withdrawn ones stay
// withdrawn. A document equal to the one in force is
// accepted without a new generation.
func (applier Applier) Apply(ctx context.Context, rendered []byte, base uint64) (Head, error) {
	current, before, version, err := applier.Current(ctx)
	if err != nil {
		return Head{}, err
	}
	if base != AnyGeneration && base != current.generation {
		return Head{}, errors.Wrapf(ErrRace, "generation %d by %s is in force, not %d", current.generation, current.operator, base)
	}
	if before != nil {
		if rendered, err = keepKeys(before, rendered); err != nil {
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
		applier.keepHistory(ctx, head)
	}
	return head, err
}

func historyPrefix(site string) string { return "config/" + site + "/history/" }

// keepHistory notes an accepted head. A note that is lost costs a line of the
// history, not the configuration.
func (applier Applier) keepHistory(ctx context.Context, head Head) {
	key := fmt.Sprintf("%s%012d", historyPrefix(applier.Site), head.generation)
	_, _ = applier.Store.Create(ctx, "operator", key, NewHead(head.generation, head.hash, head.operator, nil).Marshal())
}

// History returns the heads that were accepted, the oldest first.
func (applier Applier) History(ctx context.Context) ([]Head, error) {
	objects, err := applier.Store.List(ctx, "operator", historyPrefix(applier.Site))
	if err != nil {
		return nil, errors.Wrap(err, "read the history")
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

// Rollback makes the document of an earlier generation the next one.
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

// keepKeys carries the keys in force over into a new document, so that applying
// a file from before a grant or a withdrawal undoes neither.
func keepKeys(before, rendered []byte) ([]byte, error) {
	var old, document map[string]any
	if err := json.Unmarshal(before, &old); err != nil {
		return nil, errors.Wrap(err, "the document in force")
	}
	if err := json.Unmarshal(rendered, &document); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	granted, _ := old["keys"].(map[string]any)
	keys, _ := document["keys"].(map[string]any)
	if keys == nil && len(granted) > 0 {
		keys = map[string]any{}
		document["keys"] = keys
	}
	for id, value := range granted {
		key, _ := value.(map[string]any)
		next, given := keys[id].(map[string]any)
		switch {
		case !given:
			keys[id] = value
		case key["withdrawn"] == true:
			next["withdrawn"] = true
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
	// The answer may be lost; the key names the content, so that finding it is enough.
	if _, again := applier.Store.Get(ctx, "operator", key); again == nil {
		return nil
	}
	return errors.Wrap(err, "write the document")
}

// writeHead moves the head. After a lost answer it reads the head again: the
// hash and the operator tell whether the write took effect.
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
		return Head{}, errors.Wrapf(err, "whether generation %d was accepted is not known; ask again with status", head.generation)
	}
	now, parseErr := ParseHead(found.Value())
	if parseErr != nil {
		return Head{}, parseErr
	}
	if now.generation == head.generation && now.hash == head.hash && now.operator == head.operator {
		return head, nil
	}
	if now.generation < head.generation {
		return Head{}, errors.Wrapf(err, "generation %d was not accepted", head.generation)
	}
	return Head{}, errors.Wrapf(ErrRace, "generation %d by %s is in force", now.generation, now.operator)
}
