// Package build constructs an instance of the fleet with all its dependencies. Wire
// generates the constructors Node and Front from the providers of packages node and front.
package build
