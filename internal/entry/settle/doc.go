// Package settle settles a call's reservation at its actual cost and writes the
// usage record to the platform.
//
// Records are written in batches. A batch has a unique name, its content is fixed
// before the first attempt to write it, and it is created only if it is absent. A
// write whose response is lost can therefore be repeated without writing a
// record twice.
package settle
