package gateway

import (
	"context"

	"endiverill.example/kernel/directory"
)

// peers are the messages to and from other instances.
type peers struct{ gateway *Gateway }

func newPeers(gateway *Gateway) *peers { return &peers{gateway: gateway} }

func (peers *peers) run(ctx context.Context) error { <-ctx.Done(); return nil }

func (peers *peers) leave() {}

func (gateway *Gateway) fetch(*visit, *directory.Target) bool { return false }

func (gateway *Gateway) miss(*visit) {}
