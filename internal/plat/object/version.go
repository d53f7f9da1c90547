package object

// revisionBits is the number of low bits of a version that hold the platform's
// revision. The bits above hold its era.
const revisionBits = 40

// MaxEra is the highest era that a version can hold.
const MaxEra = 1<<(62-revisionBits) - 1

// VersionIn returns the version of an object that the platform changed under a revision
// in an era. An era ends when the platform comes back from an older copy of its content,
// after which it gives out revisions again. So only versions with the era are in the
// order of the changes.
func VersionIn(era, revision int64) int64 { return era<<revisionBits | revision }

// EraOf returns the era of a version, 0 on a platform without eras.
func EraOf(version int64) int64 { return version >> revisionBits }

// RevisionOf returns the revision of a version, unique within its era.
func RevisionOf(version int64) int64 { return version & (1<<revisionBits - 1) }
