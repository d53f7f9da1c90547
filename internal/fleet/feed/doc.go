// Package feed follows the changes of the objects of one kind on the platform.
//
// A Feed lists all objects of its kind once and then watches the kind for changes. It
// keeps the newest version of each object that it has received, from the platform or from
// a peer. Objects never revert: an older version than the known one changes nothing.
//
// If the platform no longer has the history of changes that a watch needs, the feed lists
// all objects of the kind again. An object that is missing from such a list counts as
// deleted only after DeleteGrace, since entries that expired while the platform was
// unavailable are registered again a little later.
//
// If the platform comes back from an older copy of its content, an object that was deleted
// since may be there again. The feed puts it aside for a while, in which it is deleted or
// written again, unless its writer is gone.
//
// In a large fleet, a few feeds watch the platform for all: the leaders. Their followers get
// the changes from peers, and with them the time since the platform has confirmed that there are no
// others. That time decides, not who the leaders are: a follower that nobody has confirmed anything
// to for a while calls the platform itself. So a leader may die, stand still or be cut off, and
// any number of feeds may lead.
package feed
