// Package settle ends a call's reservation at what the call cost and files the
// usage record on the platform.
//
// Records are filed in batches. A batch has a name of its own and is frozen
// before its first try, and it is created only if it is absent. So a lost
// answer is tried again without filing a record twice.
package settle
