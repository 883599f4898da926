package config

import (
	"bytes"
	"crypto/sha256"
)

// ContentHash returns a hash of a document without its generation and WriteID, by
// which processes that translate the operators' changes at different times find that
// their documents are equal. It is nil for an invalid document.
func ContentHash(document []byte) []byte {
	d, err := Parse(document)
	if err != nil {
		return nil
	}
	content := *d
	content.Generation, content.WriteID = 0, ""
	data, err := content.marshal("")
	if err != nil {
		return nil
	}
	hash := sha256.Sum256(data)
	return hash[:]
}

// HashedContent keeps the ContentHash of the document that it last hashed, because
// most reads return the same one. It is not safe for concurrent use.
type HashedContent struct{ document, hash []byte }

// Hash returns the ContentHash of the document, which must not be changed.
func (h *HashedContent) Hash(document []byte) []byte {
	if h.document == nil || !bytes.Equal(h.document, document) {
		h.document, h.hash = document, ContentHash(document)
	}
	return h.hash
}
