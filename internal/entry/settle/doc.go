// Package settle settles a call's reservation at its actual cost and writes the
// usage record to the platform.
//
// Records are written in batches. A batch has a unique name, does not change
// after the first attempt to write it, and is created only if it is absent. A
// write whose response is lost can therefore be repeated without writing a
// record twice.
package settle
