// Package config keeps the configuration that is in force on one instance: the
// service documents and the client accounts.
//
// Each object has the platform's version, which only rises. Whatever way an
// object comes, from the platform or from a peer, it is taken in only if its
// version is above the one in force. So nothing reverts, and an instance that
// starts while the platform is away gets its configuration from its peers.
package config
