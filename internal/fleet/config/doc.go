// Package config caches the configuration in force on one instance: the service
// documents and the client accounts.
//
// Each service document and each account is an object on the platform. Its version
// increases with each write. An instance gets objects from the platform and from its
// peers, and applies an object only if its version is above the one in force. So no
// object reverts to an earlier version. An instance that starts while the platform is
// unavailable gets its configuration from its peers.
package config
