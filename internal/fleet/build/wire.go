//go:build wireinject

package build

import (
	"github.com/apex/log"
	"github.com/google/wire"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/front"
	"jacinthladder.dev/internal/fleet/node"
)

// Node returns an instance that serves the services of the service documents. The
// instance has opened its listeners on the addresses of the settings, and serves only
// while its method Run runs. An error means that a listener could not be opened.
func Node(s *setup.Settings, logger log.Interface) (*node.Node, error) {
	wire.Build(node.ProviderSet)
	return nil, nil
}

// Front returns an instance that forwards requests on the routes of the users' platform.
// The instance has opened its listeners on the addresses of the settings, and serves only
// while its method Run runs. An error means that a listener could not be opened.
func Front(s *setup.Settings, logger log.Interface) (*front.Node, error) {
	wire.Build(front.ProviderSet)
	return nil, nil
}
