package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

// maxSkew bounds how far ahead a caller's clock may be.
const maxSkew = 5 * time.Minute

// outdated refuses a version 7 UUID that could stand for a forgotten claim. Such
// a claim was made at most skew before the UUID's time and was forgotten two
// retentions later; from two retentions less the skew on, the UUID is refused. One
// from further ahead than the skew is refused as well, or it would still look
// new when its claim is forgotten.
func outdated(key string, at time.Time, retention time.Duration) bool {
	made, ok := madeAt(key)
	if !ok {
		return false
	}
	skew := min(maxSkew, retention/2)
	return made.After(at.Add(skew)) || !at.Before(made.Add(2*retention-skew))
}

// madeAt returns the time inside a version 7 UUID (RFC 9562, section 5.7).
func madeAt(key string) (time.Time, bool) {
	const textLen, versionAt = 36, 14
	if len(key) != textLen || key[versionAt] != '7' || key[8] != '-' || key[13] != '-' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(b) != 16 || b[8]>>6 != 0b10 {
		return time.Time{}, false
	}
	var millis int64
	for _, v := range b[:6] {
		millis = millis<<8 | int64(v)
	}
	return time.UnixMilli(millis).UTC(), true
}
