package serve

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// digestSize is the number of bytes that a digest keeps of the hash.
const digestSize = 12

// digest returns a digest of what makes two requests the same: their method, host and path,
// their account and their body. It is a cryptographic hash, so that the requests of one account
// cannot be made to look like those of another.
func (x *exchange) digest() string {
	if x.digestText == "" {
		x.digestText = digestOf(x.accountName(), x.r.Method, x.r.Host, x.r.RequestURI, string(x.body))
	}
	return x.digestText
}

// accountName returns the name of the request's account, empty if it has none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// digestOf returns the digest of texts, of each of which the length counts too.
func digestOf(texts ...string) string {
	h := sha256.New()
	for _, text := range texts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		h.Write(length[:])
		io.WriteString(h, text)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestSize])
}
