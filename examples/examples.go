// Package examples embeds complete service documents and instance settings for two
// fleets: the recovery records fleet of Okonjo-Bassey and the dealer assistant fleet
// of Sundarban.
package examples

import "embed"

// Files holds the documents and settings under paths such as
// "okonjo/drafting-models.jsonc".
//
//go:embed okonjo sundarban
var Files embed.FS
