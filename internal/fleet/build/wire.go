//go:build wireinject

package build

import (
	"github.com/apex/log"
	"github.com/google/wire"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/front"
	"jacinthladder.dev/internal/fleet/node"
)

// Node returns an instance that listens on the addresses of its settings and does
// not serve yet.
func Node(s *setup.Settings, logger log.Interface) (*node.Node, error) {
	wire.Build(node.ProviderSet)
	return nil, nil
}

// Front returns an instance for forwarded routes that listens on the addresses of
// its settings and does not serve yet.
func Front(s *setup.Settings, logger log.Interface) (*front.Node, error) {
	wire.Build(front.ProviderSet)
	return nil, nil
}
