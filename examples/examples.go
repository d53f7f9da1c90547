// Package examples holds complete documents and settings for two fleets: the
// recovery records fleet of Okonjo-Bassey and the dealer assistant fleet of
// Sundarban.
package examples

import "embed"

// Files are the documents and settings, by path such as
// "okonjo/drafting-models.jsonc".
//
//go:embed okonjo sundarban
var Files embed.FS
