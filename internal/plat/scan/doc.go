// Package scan splits JSON texts into the texts of their members without reading these.
//
// A list that others write may hold an entry that encoding/json refuses, for example one that is
// nested too deeply. Decoding the list at once would fail for all entries. The caller splits
// the list first, decodes each entry by itself and puts the odd ones aside.
package scan
