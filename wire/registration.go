package wire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// RegistrationPrefix precedes the identifier of an entry in the keys of the
// platform's service under which entries register.
const RegistrationPrefix = "entries/"

// registration is the stored form of an EntryRef. The incarnation is text
// because JSON tools lose digits of large numbers.
type registration struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Admin       string `json:"admin"`
	DataCentre  string `json:"data_centre"`
}

// RegistrationKey returns the key under which an entry registers.
func RegistrationKey(entry string) string { return RegistrationPrefix + entry }

// EncodeRegistration returns the value that an entry registers.
func EncodeRegistration(e EntryRef) ([]byte, error) {
	return json.Marshal(registration{e.ID, e.Incarnation.String(), e.Address, e.Admin, e.DataCentre})
}

// ParseRegistration reads a registration. It returns an error when the value
// is not one or belongs to another key.
func ParseRegistration(key string, value []byte) (EntryRef, error) {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		return EntryRef{}, fmt.Errorf("wire: registration %q: %w", key, err)
	}
	n, err := strconv.ParseUint(r.Incarnation, 16, 64)
	switch {
	case err != nil || n == 0:
		return EntryRef{}, fmt.Errorf("wire: registration %q: incarnation %q is not a number", key, r.Incarnation)
	case r.ID == "" || strings.TrimPrefix(key, RegistrationPrefix) != r.ID:
		return EntryRef{}, fmt.Errorf("wire: registration %q names the entry %q", key, r.ID)
	case r.Address == "":
		return EntryRef{}, fmt.Errorf("wire: registration %q has no address", key)
	}
	return EntryRef{r.ID, Incarnation(n), r.Address, r.Admin, r.DataCentre}, nil
}
