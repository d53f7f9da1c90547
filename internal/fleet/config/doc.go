// Package config caches the configuration in force on one instance: the service
// documents and the client accounts.
//
// Each object has a version from the platform, which only increases. An object is
// applied only if its version is above the one in force, whether it comes from the
// platform or from a peer. So no object reverts, and an instance that starts while
// the platform is unavailable gets its configuration from its peers.
package config
