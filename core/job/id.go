package job

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// ID identifies a job. Two forms have a meaning: an ID minted by the system names
// its home process and the time at which it was minted, and a UUID of version 7
// contains its creation time. Any other form is opaque.
type ID string

// mintedPrefix starts every minted ID.
const mintedPrefix = "dg1"

// Minted is the content of a minted ID.
type Minted struct {
	Home node.Ref
	// Created is the mint time in milliseconds since the Unix epoch.
	Created int64
	// Minter is the incarnation of the process that minted the ID. Seq is a number
	// that this process uses only once. Together they make the ID unique.
	Minter node.Incarnation
	Seq    uint64
}

// ID returns the textual form "dg1.<home>.<incarnation>.<created>.<minter>.<seq>"
// with numbers in hexadecimal. The home ID must not contain a dot.
func (m Minted) ID() ID {
	parts := []string{
		mintedPrefix,
		string(m.Home.ID),
		strconv.FormatUint(uint64(m.Home.Incarnation), 16),
		strconv.FormatInt(m.Created, 16),
		strconv.FormatUint(uint64(m.Minter), 16),
		strconv.FormatUint(m.Seq, 16),
	}
	return ID(strings.Join(parts, "."))
}

// Minted parses a minted ID. It reports false for any other form.
func (id ID) Minted() (Minted, bool) {
	parts := strings.Split(string(id), ".")
	if len(parts) != 6 || parts[0] != mintedPrefix || parts[1] == "" {
		return Minted{}, false
	}
	inc, err1 := strconv.ParseUint(parts[2], 16, 64)
	created, err2 := strconv.ParseInt(parts[3], 16, 64)
	minter, err3 := strconv.ParseUint(parts[4], 16, 64)
	seq, err4 := strconv.ParseUint(parts[5], 16, 64)
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || inc == 0 {
		return Minted{}, false
	}
	m := Minted{
		Home:    node.Ref{ID: node.ID(parts[1]), Incarnation: node.Incarnation(inc)},
		Created: created,
		Minter:  node.Incarnation(minter),
		Seq:     seq,
	}
	return m, m.ID() == id
}

// uuidLen is the length of the canonical textual form of a UUID.
const uuidLen = 36

// UUIDv7Created returns the creation time that a UUID of version 7 contains, in
// milliseconds since the Unix epoch. It reports false for any other form.
func (id ID) UUIDv7Created() (int64, bool) {
	s := string(id)
	if len(s) != uuidLen || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' || s[14] != '7' {
		return 0, false
	}
	raw, err := hex.DecodeString(s[0:8] + s[9:13] + s[14:18] + s[19:23] + s[24:])
	if err != nil {
		return 0, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}
