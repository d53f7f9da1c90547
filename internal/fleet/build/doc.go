// Package build constructs instances with their dependencies. Wire generates the
// injectors from the providers of packages node and front.
package build
