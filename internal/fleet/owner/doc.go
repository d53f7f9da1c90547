// Package owner replicates the registry of attempts at keyed requests on the members
// that own the keys. An instance that receives a retry finds the first attempt
// there and can follow its response.
package owner
