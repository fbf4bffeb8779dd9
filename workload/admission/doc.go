// Package admission decides whether a submitted job is accepted, refused permanently or told
// to come back, and when callers that are sent away should return. The decisions are pure
// functions: instances with the same inputs decide alike, and exchange no messages for it.
// docs/design/admission.md compares the alternatives.
package admission
