// Package jsonc decodes JSON with comments into typed values.
//
// Settings and service documents are edited by people, so every error names
// the line, the column and the field it is about. Unknown and repeated fields
// are refused: a misspelt limit must not be ignored. A decoded Tree can later
// place the errors of semantic checks in the same text.
package jsonc
