package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

// maxClockSkew bounds how far ahead a client's clock may be.
const maxClockSkew = 5 * time.Minute

// uuidOutdated reports whether a version 7 UUID may belong to a claim that was already
// forgotten. Such a claim was made no earlier than skew before the UUID's time and is
// forgotten two retentions later, so the UUID is refused from two retentions less skew
// after its time. A UUID that is further ahead than skew is refused as well, because it
// would still look new when its claim is forgotten.
func uuidOutdated(key string, at time.Time, retention time.Duration) bool {
	made, ok := uuid7Time(key)
	if !ok {
		return false
	}
	skew := min(maxClockSkew, retention/2)
	return made.After(at.Add(skew)) || !at.Before(made.Add(2*retention-skew))
}

// uuid7Time returns the timestamp of a version 7 UUID (RFC 9562, section 5.7).
func uuid7Time(key string) (time.Time, bool) {
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
