// Package jsonc decodes JSON with comments into structs.
//
// People edit settings and service documents by hand, so every error names the line, the
// column and the field. Unknown and repeated fields are errors, so that a misspelt limit
// is not ignored. Decode returns a SourceMap, with which the caller can give the errors of
// its own later checks a position in the same text.
package jsonc
