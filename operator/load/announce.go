package load

// Announce lists, by failure domain, the addresses to which the stand-ins of
// that domain announce themselves: an instance takes only beats of its own
// domain. Those under the empty name are for all other domains.
type Announce map[string][]string

// To returns the addresses for the stand-ins of a domain.
func (a Announce) To(domain string) []string {
	if list, ok := a[domain]; ok {
		return list
	}
	return a[""]
}
