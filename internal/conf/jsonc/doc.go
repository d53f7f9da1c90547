// Package jsonc decodes JSON with comments into typed values.
//
// Settings and service documents are edited by people, so every error names the
// line, the column and the field. Unknown and repeated fields are errors, so that
// a misspelt limit is not ignored. Decode returns a SourceMap, which locates the
// errors of later semantic checks in the same text.
package jsonc
