// Package claims records which job owns an idempotency key. Claims are stored in
// the platform's key-value service, in 256 documents (shards) that are changed by
// compare-and-swap. Thus at most one job owns a key, regardless of the entries to
// which jobs with that key are submitted.
//
// There are two limitations. If the service is restored from a backup, claims
// made after the backup are lost, and their keys can be claimed again. An entry
// whose clock is ahead by more than MaxClockSkew removes claims before their
// retention period ends.
package claims

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// Prefix is the prefix of the store keys of the shards.
	Prefix = "claims/"
	// ShardCount is the number of shards. One shard holds about 6,000 claims,
	// so all shards together hold 1.5 million within the retention period.
	ShardCount = 256
	// MaxShardBytes is the maximum size of an encoded shard. It is below the
	// limit of 1 MB for a value in the service, with a margin.
	MaxShardBytes = 960 << 10
	// MaxClockSkew is added to the retention period, because the clock of the
	// entry that removes a claim may be ahead of that of the entry that made it.
	MaxClockSkew = time.Minute

	maxKeyBytes         = 255
	maxAccountBytes     = 63
	maxFingerprintBytes = 128
	maxJobBytes         = 200

	formatVersion = 1
	// idBytes is the number of bytes of the hash of account and key that
	// identify a claim in its shard. With 128 bits, accidental collisions are
	// negligible.
	idBytes = 16
	// recordOverhead is the size of a record in JSON without its id,
	// fingerprint and job: punctuation, field names and a number of 20 digits.
	recordOverhead = len(`"":{"f":"","j":"","e":},`) + 20
	// emptyShardBytes is the size of a shard without records.
	emptyShardBytes = len(`{"v":1,"claims":{}}`)
)

// Errors of shards.
var (
	// ErrShardFull means that the shard has no room for another claim.
	ErrShardFull = merry.Sentinel("claims: shard is full")
	// ErrInvalidClaim means that a claim has a missing or unusable field.
	ErrInvalidClaim = merry.Sentinel("claims: invalid claim")
	// ErrUnreadable means that a stored shard cannot be decoded. Such a shard is
	// never overwritten, because it may contain claims.
	ErrUnreadable = merry.Sentinel("claims: stored shard is unreadable")
)

// Claim records that a job owns an idempotency key of an account.
type Claim struct {
	Key     string
	Account string
	// Fingerprint is the fingerprint of the request. A submission with the
	// same key and another fingerprint is not a repetition of the request.
	Fingerprint string
	// Job is the unique identifier of the owning job.
	Job string
}

// validate checks the lengths of the fields, and that fingerprint and job need no
// escaping in JSON, so that the size of an encoded shard can be computed.
func (c Claim) validate() error {
	fields := []struct {
		name, value string
		longest     int
		plain       bool
	}{
		{"key", c.Key, maxKeyBytes, false},
		{"account", c.Account, maxAccountBytes, false},
		{"fingerprint", c.Fingerprint, maxFingerprintBytes, true},
		{"job", c.Job, maxJobBytes, true},
	}
	for _, f := range fields {
		if f.value == "" || len(f.value) > f.longest {
			return invalidClaim("%s has %d bytes; want 1 to %d", f.name, len(f.value), f.longest)
		}
		if f.plain && strings.ContainsFunc(f.value, needsEscape) {
			return invalidClaim("%s has a space or one of the characters \" \\ < > & or is not ASCII", f.name)
		}
	}
	return nil
}

func invalidClaim(format string, args ...any) error {
	return merry.Wrap(ErrInvalidClaim, merry.AppendMessagef(format, args...), merry.NoCaptureStack())
}

func needsEscape(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"\<>&`, r)
}

// hash returns the hash of account and key, from which the shard and the id of the
// claim are derived.
func (c Claim) hash() [sha256.Size]byte {
	return sha256.Sum256([]byte(c.Account + "\x00" + c.Key))
}

// ShardKey returns the store key of the shard that contains the claim.
func (c Claim) ShardKey() string {
	h := c.hash()
	return fmt.Sprintf("%s%02x", Prefix, h[sha256.Size-1])
}

func (c Claim) id() string {
	h := c.hash()
	return base64.RawURLEncoding.EncodeToString(h[:idBytes])
}

// record is a stored claim. Account and key are not stored; its id is their hash.
type record struct {
	Fingerprint string `json:"f"`
	Job         string `json:"j"`
	// Expires is the end of the retention period in Unix seconds.
	Expires int64 `json:"e"`
}

// Shard is the set of claims in one stored document.
type Shard struct {
	records map[string]record
	size    int // upper bound of the encoded size
}

type document struct {
	Version int               `json:"v"`
	Claims  map[string]record `json:"claims"`
}

// DecodeShard decodes a stored shard. Empty data is decoded as an empty shard. It
// fails with ErrUnreadable.
func DecodeShard(data []byte) (*Shard, error) {
	s := &Shard{records: map[string]record{}, size: emptyShardBytes}
	if len(data) == 0 {
		return s, nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var doc document
	if err := d.Decode(&doc); err != nil {
		return nil, merry.Wrap(ErrUnreadable, merry.WithCause(err), merry.NoCaptureStack())
	}
	if doc.Version != formatVersion {
		return nil, merry.Wrap(ErrUnreadable, merry.AppendMessagef("format version %d", doc.Version), merry.NoCaptureStack())
	}
	for id, r := range doc.Claims {
		s.records[id] = r
		s.size += r.size(id)
	}
	return s, nil
}

// Encode returns the encoded shard, as it is stored.
func (s *Shard) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(document{formatVersion, s.records}); err != nil {
		return nil, merry.Prepend(err, "claims: encode shard")
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}

func (r record) size(id string) int {
	return recordOverhead + maxEncodedLen(id) + maxEncodedLen(r.Fingerprint) + maxEncodedLen(r.Job)
}

// maxEncodedLen returns an upper bound of the length of s in JSON. Only another writer
// stores claims that need escaping, which takes at most 6 bytes for each.
func maxEncodedLen(s string) int {
	if strings.ContainsFunc(s, needsEscape) {
		return 6 * len(s)
	}
	return len(s)
}

// Len returns the number of claims.
func (s *Shard) Len() int { return len(s.records) }

// Claim records that the job owns the key, unless a job already owns it. It
// returns the claim that owns the key, and whether that belongs to the claim's
// job. The claim is kept for the retention period plus MaxClockSkew. The caller
// must call Expire first. Claim fails with ErrInvalidClaim or ErrShardFull.
func (s *Shard) Claim(now time.Time, retention time.Duration, c Claim) (owner Claim, won bool, err error) {
	if err := c.validate(); err != nil {
		return Claim{}, false, err
	}
	if owner, ok := s.Owner(c); ok {
		return owner, owner.Job == c.Job, nil
	}
	id := c.id()
	r := record{c.Fingerprint, c.Job, now.Add(retention + MaxClockSkew).Unix()}
	if s.size+r.size(id) > MaxShardBytes {
		return Claim{}, false, ErrShardFull
	}
	s.records[id] = r
	s.size += r.size(id)
	return c, true, nil
}

// Owner returns the claim that owns the key of c; ok is false if there is none.
func (s *Shard) Owner(c Claim) (Claim, bool) {
	r, ok := s.records[c.id()]
	return Claim{c.Key, c.Account, r.Fingerprint, r.Job}, ok
}

// Release removes the claim if its job owns the key, and reports whether it was
// removed.
func (s *Shard) Release(c Claim) bool {
	owner, ok := s.Owner(c)
	if !ok || owner.Job != c.Job {
		return false
	}
	s.remove(c.id())
	return true
}

// Expire removes the claims whose retention period, including MaxClockSkew, is
// over and returns their number.
func (s *Shard) Expire(now time.Time) int {
	before := len(s.records)
	for id, r := range s.records {
		if r.Expires < now.Unix() {
			s.remove(id)
		}
	}
	return before - len(s.records)
}

func (s *Shard) remove(id string) {
	s.size -= s.records[id].size(id)
	delete(s.records, id)
}
